import { readDesiredState } from "../../platform/desiredState.js";
import { DeploymentIndex, selectService } from "../../src/version/deploymentIndex.js";
import { describe, it } from "../describe.js";
import { documentOf } from "../platform/testDocument.js";

function createIndex(changes: object = {}): DeploymentIndex {
    return new DeploymentIndex(readDesiredState(Buffer.from(JSON.stringify(documentOf(1, changes)))).unwrap());
}

const route = { "host": "h.example", "kind": "safe", "timeout-ms": 100, "service": "desk" };

describe("DeploymentIndex", () => {
    it("finds the route with the longest prefix of a path", t => {
        const index = createIndex({
            routes: [
                { ...route, "name": "short", "path-prefix": "/a/" },
                { ...route, "name": "long", "path-prefix": "/a/b/" },
            ],
        });
        t.is(index.findRoute("H.example:80", "/a/b/c")?.name, "long");
        t.is(index.findRoute("h.example", "/a/c")?.name, "short");
        t.is(index.findRoute("h.example", "/ab"), undefined);
        t.is(index.findRoute("other.example", "/a/c"), undefined);
    });

    it("orders urgencies by the tier of the team, then by the tier of the route", t => {
        const index = createIndex({
            tenants: [
                { name: "first", keys: ["1"], priority: 0 },
                { name: "second", keys: ["2"], priority: 1 },
            ],
        });
        const urgency = (path: string, key: string): number => {
            const found = index.findRoute("calls.example", path);
            return found === undefined ? -1 : index.urgencyOf(found, index.findTeam(key));
        };
        const ranks = [urgency("/drafts/", "1"), urgency("/bookings/", "1"), urgency("/drafts/", "2")];
        t.deepEqual(ranks, [0, 1, 2]);
    });

    it("selects services by weight", t => {
        const bookings = createIndex().findRoute("calls.example", "/bookings/x");
        t.truthy(bookings);
        if (bookings !== undefined) {
            t.is(selectService(bookings, 0.1), "desk");
            t.is(selectService(bookings, 0.95), "engines");
        }
    });
});
