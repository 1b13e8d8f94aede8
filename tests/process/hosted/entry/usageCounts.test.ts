import { UsageCounts } from "../../../../src/process/hosted/entry/usageCounts.js";
import { describe, it } from "../../../describe.js";

const windowMilliseconds = 5_000;

describe("UsageCounts", () => {
    it("returns cumulative counts of only those windows that changed since a version", t => {
        const counts = new UsageCounts(windowMilliseconds);
        counts.recordStart("clinic", 1_000);
        counts.recordStart("clinic", 2_000);
        counts.recordStart("school", 6_000);
        t.deepEqual(counts.totalsSince(0), { 0: { clinic: 2 }, 1: { school: 1 } });
        const reportedVersion = counts.version;
        t.deepEqual(counts.totalsSince(reportedVersion), {});
        counts.recordStart("clinic", 7_000);
        t.deepEqual(counts.totalsSince(reportedVersion), { 1: { school: 1, clinic: 1 } });
    });

    it("drops windows that ended long ago", t => {
        const counts = new UsageCounts(windowMilliseconds);
        counts.recordStart("clinic", 0);
        counts.recordStart("clinic", 20 * windowMilliseconds);
        t.deepEqual(Object.keys(counts.totalsSince(0)), ["20"]);
    });
});
