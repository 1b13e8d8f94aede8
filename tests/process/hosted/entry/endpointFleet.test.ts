import { EventLog } from "../../../../src/logEvent/eventLog.js";
import type { EndpointRecord } from "../../../../src/process/hosted/endpointRecord.js";
import { EndpointFleet } from "../../../../src/process/hosted/entry/endpointFleet.js";
import type { ListReading } from "../../../../src/process/hosted/entry/listReading.js";
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

    describe("an endpoint that has stated that it leaves", () => {
        const endpoint = createEndpointRecord("e0", { startedAt: 5 });
        const returning: Readonly<Record<string, readonly (readonly EndpointRecord[])[]>> = {
            "one list lacks its row": [[], [endpoint]],
            "several lists lack its row": [[], [], [endpoint], [], [endpoint]],
            "lists no longer state its start time": [[{ ...endpoint, startedAt: undefined }], [endpoint]],
            "a list lacks its row, and the next one states less about it": [[], [
                { ...endpoint, startedAt: undefined, softwareVersion: undefined },
            ]],
        };
        for (const [title, lists] of Object.entries(returning)) {
            // Guards against calls to an endpoint whose own statement was forgotten because a list lacked its row (DRAIN).
            it(`gets no calls although ${title}`, t => {
                using fleet = new EndpointFleet(new EventLog("test", "hidden"));
                fleet.applyList([endpoint], readAt(0), 0);
                fleet.serving("engines")[0]?.recordLeaving();
                lists.forEach((records, index) => {
                    fleet.applyList(records, readAt(400 * (index + 1)), 400 * (index + 1));
                    t.deepEqual(fleet.serving("engines"), []);
                });
            });
        }

        it("gets calls again as another run of its software", t => {
            for (const another of [{ startedAt: 6 }, { softwareVersion: "v2" }]) {
                using fleet = new EndpointFleet(new EventLog("test", "hidden"));
                fleet.applyList([endpoint], readAt(0), 0);
                fleet.serving("engines")[0]?.recordLeaving();
                fleet.applyList([], readAt(400), 400);
                fleet.applyList([{ ...endpoint, ...another }], readAt(800), 800);
                t.is(fleet.serving("engines").length, 1);
            }
        });

        // Guards against calls to a restarted endpoint that are reported as calls to one that leaves.
        it("is not known to leave as another run", t => {
            using fleet = new EndpointFleet(new EventLog("test", "hidden"));
            fleet.applyList([{ ...endpoint, isLeaving: true }], readAt(0), 0);
            t.is(fleet.leavingRecord.timeSince(endpoint, 100), 100);
            fleet.applyList([{ ...endpoint, startedAt: 6 }], readAt(400), 400);
            t.is(fleet.leavingRecord.timeSince(endpoint, 500), undefined);
        });
    });

    // Guards against connections, rests and load that are lost each time that one list lacks an endpoint's row.
    it("knows an endpoint again whose row was missing from some lists", t => {
        using fleet = new EndpointFleet(new EventLog("test", "hidden"));
        const records = [createEndpointRecord("e0"), createEndpointRecord("e1")];
        fleet.applyList(records, readAt(0), 0);
        const before = fleet.serving("engines");
        fleet.applyList(records.slice(1), readAt(400), 400);
        t.is(fleet.serving("engines").length, 1);
        fleet.applyList(records, readAt(800), 800);
        t.is(fleet.serving("engines").length, 2);
        t.true(before.every(endpoint => fleet.serving("engines").includes(endpoint)));
    });

    // Guards against endpoints that get no calls after a restart because of their failures before it.
    it("forgets the failures of an endpoint whose row was missing", t => {
        using fleet = new EndpointFleet(new EventLog("test", "hidden"));
        const records = [createEndpointRecord("e0")];
        fleet.applyList(records, readAt(0), 0);
        const [endpoint] = fleet.serving("engines");
        endpoint?.recordFailure(300);
        fleet.applyList([], readAt(350), 350);
        fleet.applyList(records, readAt(400), 400);
        t.is(fleet.serving("engines")[0], endpoint);
        t.false(endpoint?.isEjected(401) ?? true);
        t.is(endpoint?.failureRate, 0);
    });

    describe("a list from another control process", () => {
        const ready = createEndpointRecord("e0");
        const inForce: ListReading = {
            control: "control-1:1",
            link: 1,
            revision: 4,
            age: 100,
            earliest: 10_000,
            latest: 10_200,
        };
        /** Was read before the list in force, and spent two seconds on the way. */
        const delayed: ListReading = {
            control: "control-2:1",
            link: 2,
            revision: 9,
            age: 50,
            earliest: 9_400,
            latest: 11_400,
        };

        // Guards against calls to a leaving endpoint after an older list, delayed on its way, has replaced a newer one (DRAIN).
        it("does not replace a list that may be newer", t => {
            using fleet = new EndpointFleet(new EventLog("test", "hidden"));
            fleet.applyList([{ ...ready, isLeaving: true }], inForce, 10_300);
            fleet.applyList([ready], delayed, 11_450);
            t.deepEqual(fleet.serving("engines"), []);
        });

        it("replaces the list in force once it is certainly newer", t => {
            using fleet = new EndpointFleet(new EventLog("test", "hidden"));
            fleet.applyList([{ ...ready, isLeaving: true }], inForce, 10_300);
            fleet.applyList([ready], delayed, 11_450);
            fleet.applyList([ready], { ...delayed, earliest: 11_500, latest: 11_800 }, 11_850);
            t.is(fleet.serving("engines").length, 1);
        });

        // Guards against an entry that keeps an old list because it cannot tell when the next one was read.
        it("shows at once that an endpoint leaves, unless it is certainly older", t => {
            using fleet = new EndpointFleet(new EventLog("test", "hidden"));
            fleet.applyList([ready], inForce, 10_300);
            fleet.applyList([{ ...ready, isLeaving: true }], delayed, 11_450);
            t.deepEqual(fleet.serving("engines"), []);
            fleet.applyList([ready], { ...inForce, earliest: 11_600, latest: 11_700 }, 11_750);
            t.is(fleet.serving("engines").length, 1, "the list in force was read again later");
        });
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
