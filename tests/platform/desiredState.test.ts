import { readDesiredState } from "../../platform/desiredState.js";
import { deploymentFaults } from "../../src/version/deploymentFaults.js";
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

describe("configuration of the platform", () => {
    it("is decoded into the project's own terms", t => {
        const read = readDesiredState(bytesOf(documentOf(7))).unwrap();
        t.is(read.version, 7);
        const [drafts, bookings] = read.routes;
        t.true(drafts?.streaming);
        t.is(drafts?.repeatRule, "once");
        t.is(drafts?.targetPause, 150);
        t.deepEqual(bookings?.targets.map(target => target.service), ["desk", "engines"]);
        t.is(read.services[0]?.engine?.slots, 8);
        t.deepEqual(read.teams?.[0]?.keys, ["key-1", "key-2"]);
        t.deepEqual(deploymentFaults(read), []);
    });

    it("lets streams that may be resumed, and safe calls, be repeated", t => {
        const routes = [
            { ...route, kind: "streaming", resumable: true },
            { ...route, "name": "look-ups", "path-prefix": "/look-ups/" },
        ];
        const read = readDesiredState(bytesOf(documentOf(1, { routes }))).unwrap();
        t.deepEqual(read.routes.map(({ repeatRule }) => repeatRule), ["repeatable", "repeatable"]);
    });

    it("is refused when it is cut short", t => {
        const bytes = bytesOf(documentOf(1));
        t.true(readDesiredState(bytes.subarray(0, bytes.length - 5)).err);
    });

    for (
        const [title, changes] of [
            ["an unknown service", { routes: [{ ...route, service: "nowhere" }] }],
            ["a place that two routes share", { routes: [route, { ...route, name: "again" }] }],
            ["weights that add up to nothing", {
                routes: [{ ...route, "service": undefined, "traffic-split": [{ service: "desk", weight: 0 }] }],
            }],
            ["no time to answer", { routes: [{ ...route, "timeout-ms": 0 }] }],
            ["a key that two teams share", {
                tenants: [{ name: "a", keys: ["key"] }, { name: "b", keys: ["key"] }],
            }],
        ] as const
    ) {
        it(`is at fault for ${title}`, t => {
            const read = readDesiredState(bytesOf(documentOf(1, changes))).unwrap();
            t.is(deploymentFaults(read).length, 1);
        });
    }
});
