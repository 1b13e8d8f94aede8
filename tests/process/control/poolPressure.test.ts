import { PoolPressure } from "../../../src/process/control/poolPressure.js";
import { emptySummary, summaryFromRow, summaryToRow } from "../../../src/request/admission/poolSummary.js";
import type { PoolSummary } from "../../../src/request/admission/poolSummary.js";
import { describe, it } from "../../describe.js";

function waiting(pool: string, queued: number): PoolSummary {
    const empty = emptySummary(pool);
    return { ...empty, entries: 1, tiers: empty.tiers.map((tier, index) => index === 0 ? { ...tier, queued } : tier) };
}

function queuedOf(pressure: PoolPressure, now: number): number | undefined {
    const [sum] = pressure.sumsOf(now);
    return sum && summaryFromRow(sum.pool, sum.row)?.tiers[0]?.queued;
}

describe("PoolPressure", () => {
    it("adds up the newest summary of each entry", t => {
        const pressure = new PoolPressure();
        pressure.report("a", [{ pool: "engines", row: summaryToRow(waiting("engines", 3)) }], 0);
        pressure.report("a", [{ pool: "engines", row: summaryToRow(waiting("engines", 4)) }], 1);
        pressure.report("b", [{ pool: "engines", row: summaryToRow(waiting("engines", 5)) }], 1);
        t.is(queuedOf(pressure, 1), 9);
    });

    it("leaves out malformed rows and entries that have fallen silent", t => {
        const pressure = new PoolPressure();
        pressure.report("a", [{ pool: "engines", row: summaryToRow(waiting("engines", 3)) }], 0);
        pressure.report("b", [{ pool: "engines", row: [1, 2, 3] }], 0);
        t.is(queuedOf(pressure, 0), 3);
        t.deepEqual(pressure.sumsOf(60_000), []);
    });
});
