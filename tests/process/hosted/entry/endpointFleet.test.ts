import { EventLog } from "../../../../src/logEvent/eventLog.js";
import type { EndpointRecord } from "../../../../src/process/hosted/endpointRecord.js";
import { EndpointFleet } from "../../../../src/process/hosted/entry/endpointFleet.js";
import { describe, it } from "../../../describe.js";
import { readAt } from "./listReadings.js";
import { createEndpointRecord } from "./testEndpoints.js";

const duration = 1_000;

function listOf(...versions: readonly (string | undefined)[]): readonly EndpointRecord[] {
    return versions.map((softwareVersion, index) => createEndpointRecord(`e${index}`, { softwareVersion }));
}

describe("EndpointFleet", () => {
    describe("onlyOrigin", () => {
        const v1 = { service: "engines", softwareVersion: "v1" };
        const cases: readonly {
            readonly title: string;
            readonly lists: readonly (readonly [number, readonly EndpointRecord[]])[];
            readonly expected: object | undefined;
        }[] = [
            { title: "one version for long", lists: [[0, listOf("v1", "v1")]], expected: v1 },
            { title: "a list that is too recent", lists: [[4_500, listOf("v1")]], expected: undefined },
            { title: "two versions", lists: [[0, listOf("v1", "v2")]], expected: undefined },
            {
                title: "another version that left lately",
                lists: [[0, listOf("v1", "v2")], [4_500, listOf("v1")]],
                expected: undefined,
            },
            {
                title: "another version that left long ago",
                lists: [[0, listOf("v1", "v2")], [3_500, listOf("v1")]],
                expected: v1,
            },
            {
                title: "another version since lately",
                lists: [[0, listOf("v2")], [4_500, listOf("v1")]],
                expected: undefined,
            },
            { title: "an unknown version", lists: [[0, listOf(undefined)]], expected: undefined },
            {
                title: "an unknown version beside a known one",
                lists: [[0, listOf("v1", undefined)]],
                expected: undefined,
            },
            { title: "no endpoints", lists: [[0, []]], expected: undefined },
        ];
        for (const { title, lists, expected } of cases) {
            it(`with ${title}`, t => {
                const fleet = new EndpointFleet(new EventLog("test", "hidden"));
                for (const [at, records] of lists) {
                    fleet.applyList(records, readAt(at), at);
                }
                t.deepEqual(fleet.onlyOrigin("engines", duration, 5_000), expected);
            });
        }
    });

    // Guards against an endpoint that is taken for the same one although its software was replaced under its id.
    it("takes an endpoint whose version has changed for another one", t => {
        const fleet = new EndpointFleet(new EventLog("test", "hidden"));
        fleet.applyList(listOf("v1"), readAt(0), 0);
        const [before] = fleet.serving("engines");
        fleet.applyList(listOf("v2"), readAt(1), 1);
        const [after] = fleet.serving("engines");
        t.not(after, before);
        t.is(before?.record.softwareVersion, "v1");
        t.is(after?.record.softwareVersion, "v2");
    });
});
