import { addSummaries, summaryFromRow, summaryToRow } from "../../request/admission/poolSummary.js";
import type { PoolSummary } from "../../request/admission/poolSummary.js";
import { summaryLifetime } from "../../request/admission/remoteLoad.js";
import type { Milliseconds } from "../../util/clock.js";

/** Time for which the totals are cached, in milliseconds. */
const totalsLifetime: Milliseconds = 100;

/** Wire format of the summary of one pool: its name and a fixed-length row of integers. */
export interface PoolSummaryRow {
    readonly pool: string;
    readonly row: readonly number[];
}

interface ReportedSummaries {
    readonly summaries: readonly PoolSummary[];
    readonly reportedAt: Milliseconds;
}

/** Adds up the pool summaries of all entries, so that each entry receives the load of the others. */
export class PoolSummaryAggregator {
    private readonly reports = new Map<string, ReportedSummaries>();
    private totals: readonly PoolSummaryRow[] = [];
    private totalsComputedAt: Milliseconds = -Infinity;

    /** Stores the latest summaries of an entry; ignores malformed rows. */
    report(incarnation: string, rows: readonly PoolSummaryRow[], now: Milliseconds): void {
        const summaries = rows.flatMap(({ pool, row }) => summaryFromRow(pool, row) ?? []);
        this.reports.set(incarnation, { summaries, reportedAt: now });
    }

    /** Returns one total for each pool over all entries that reported within {@link summaryLifetime}. */
    currentTotals(now: Milliseconds): readonly PoolSummaryRow[] {
        if (now - this.totalsComputedAt >= totalsLifetime) {
            this.totalsComputedAt = now;
            this.totals = this.computeTotals(now);
        }
        return this.totals;
    }

    private computeTotals(now: Milliseconds): readonly PoolSummaryRow[] {
        const summariesByPool = new Map<string, PoolSummary[]>();
        for (const [incarnation, { summaries, reportedAt }] of this.reports) {
            if (now - reportedAt > summaryLifetime) {
                this.reports.delete(incarnation);
                continue;
            }
            for (const summary of summaries) {
                summariesByPool.set(summary.pool, [...(summariesByPool.get(summary.pool) ?? []), summary]);
            }
        }
        return [...summariesByPool].map(([pool, summaries]) => ({
            pool,
            row: summaryToRow(addSummaries(pool, summaries)),
        }));
    }
}
