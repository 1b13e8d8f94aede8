import { readDesiredState } from "../../platform/desiredState.js";
import { findDeploymentFaults } from "../../src/version/findDeploymentFaults.js";
import { describe, it } from "../describe.js";
import { documentOf } from "./testDocument.js";

function bytesOf(value: unknown): Buffer {
    return Buffer.from(JSON.stringify(value));
}

const route = {
    "name": "drafts",
    "host": "calls.example",
    "path-prefix": "/drafts/",
    "kind": "safe",
    "timeout-ms": 1_000,
    "service": "engines",
};

describe("readDesiredState", () => {
    it("converts the platform's terms into those of the deployment", t => {
        const read = readDesiredState(bytesOf(documentOf(7))).unwrap();
        t.is(read.version, 7);
        const [drafts, bookings] = read.routes;
        t.true(drafts?.streaming);
        t.is(drafts?.repeatRule, "once");
        t.is(drafts?.targetEventGap, 150);
        t.deepEqual(bookings?.targets.map(target => target.service), ["desk", "engines"]);
        t.is(read.services[0]?.engine?.slots, 8);
        t.deepEqual(read.teams?.[0]?.keys, ["key-1", "key-2"]);
        t.deepEqual(findDeploymentFaults(read), []);
    });

    it("marks resumable streams and safe calls as repeatable", t => {
        const routes = [
            { ...route, kind: "streaming", resumable: true },
            { ...route, "name": "look-ups", "path-prefix": "/look-ups/" },
        ];
        const read = readDesiredState(bytesOf(documentOf(1, { routes }))).unwrap();
        t.deepEqual(read.routes.map(({ repeatRule }) => repeatRule), ["repeatable", "repeatable"]);
    });

    it("returns a reason for a truncated document", t => {
        const bytes = bytesOf(documentOf(1));
        t.true(readDesiredState(bytes.subarray(0, bytes.length - 5)).err);
    });

    for (
        const [title, changes] of [
            ["an unknown service", { routes: [{ ...route, service: "nowhere" }] }],
            ["two routes with the same host and path prefix", { routes: [route, { ...route, name: "again" }] }],
            ["weights with a sum of zero", {
                routes: [{ ...route, "service": undefined, "traffic-split": [{ service: "desk", weight: 0 }] }],
            }],
            ["a timeout of zero", { routes: [{ ...route, "timeout-ms": 0 }] }],
            ["a key shared by two teams", {
                tenants: [{ name: "a", keys: ["key"] }, { name: "b", keys: ["key"] }],
            }],
        ] as const
    ) {
        it(`accepts a document in which the deployment check finds one fault: ${title}`, t => {
            const read = readDesiredState(bytesOf(documentOf(1, changes))).unwrap();
            t.is(findDeploymentFaults(read).length, 1);
        });
    }
});
