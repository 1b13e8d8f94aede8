import { PoolSummaryAggregator } from "../../../src/process/control/poolSummaryAggregator.js";
import { emptySummary, summaryFromRow, summaryToRow } from "../../../src/request/admission/poolSummary.js";
import type { PoolSummary } from "../../../src/request/admission/poolSummary.js";
import { describe, it } from "../../describe.js";

function createQueuedSummary(pool: string, queued: number): PoolSummary {
    const empty = emptySummary(pool);
    return { ...empty, entries: 1, tiers: empty.tiers.map((tier, index) => index === 0 ? { ...tier, queued } : tier) };
}

function queuedOf(aggregator: PoolSummaryAggregator, now: number): number | undefined {
    const [sum] = aggregator.currentTotals(now);
    return sum && summaryFromRow(sum.pool, sum.row)?.tiers[0]?.queued;
}

describe("PoolSummaryAggregator", () => {
    it("adds up the latest summary of each entry", t => {
        const aggregator = new PoolSummaryAggregator();
        aggregator.report("a", [{ pool: "engines", row: summaryToRow(createQueuedSummary("engines", 3)) }], 0);
        aggregator.report("a", [{ pool: "engines", row: summaryToRow(createQueuedSummary("engines", 4)) }], 1);
        aggregator.report("b", [{ pool: "engines", row: summaryToRow(createQueuedSummary("engines", 5)) }], 1);
        t.is(queuedOf(aggregator, 1), 9);
    });

    it("ignores malformed rows and entries that stopped reporting", t => {
        const aggregator = new PoolSummaryAggregator();
        aggregator.report("a", [{ pool: "engines", row: summaryToRow(createQueuedSummary("engines", 3)) }], 0);
        aggregator.report("b", [{ pool: "engines", row: [1, 2, 3] }], 0);
        t.is(queuedOf(aggregator, 0), 3);
        t.deepEqual(aggregator.currentTotals(60_000), []);
    });
});
