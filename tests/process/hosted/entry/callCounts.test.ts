import { CallCounts } from "../../../../src/process/hosted/entry/callCounts.js";
import { describe, it } from "../../../describe.js";

const windowLength = 5_000;

describe("CallCounts", () => {
    it("returns cumulative counts of only those windows that changed since a version", t => {
        const counts = new CallCounts(windowLength);
        counts.noteBegun("clinic", 1_000);
        counts.noteBegun("clinic", 2_000);
        counts.noteBegun("school", 6_000);
        t.deepEqual(counts.totalsSince(0), { 0: { clinic: 2 }, 1: { school: 1 } });
        const told = counts.version;
        t.deepEqual(counts.totalsSince(told), {});
        counts.noteBegun("clinic", 7_000);
        t.deepEqual(counts.totalsSince(told), { 1: { school: 1, clinic: 1 } });
    });

    it("drops windows that ended long ago", t => {
        const counts = new CallCounts(windowLength);
        counts.noteBegun("clinic", 0);
        counts.noteBegun("clinic", 20 * windowLength);
        t.deepEqual(Object.keys(counts.totalsSince(0)), ["20"]);
    });
});
