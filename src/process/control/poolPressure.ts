import { addSummaries, summaryFromRow, summaryToRow } from "../../request/admission/poolSummary.js";
import type { PoolSummary } from "../../request/admission/poolSummary.js";
import { summaryLifetime } from "../../request/admission/remoteLoad.js";
import type { Milliseconds } from "../../util/clock.js";

/** How long the sums of all entries are kept before they are added up anew, in milliseconds. */
const sumLifetime: Milliseconds = 100;

/** The summary of one pool as it travels: its name and a row of integers of fixed length. */
export interface PoolRow {
    readonly pool: string;
    readonly row: readonly number[];
}

interface ReportedSummaries {
    readonly summaries: readonly PoolSummary[];
    readonly reportedAt: Milliseconds;
}

/** Adds up what the entries tell of their pools, so that each entry learns the pressure on all others. */
export class PoolPressure {
    private readonly reports = new Map<string, ReportedSummaries>();
    private sums: readonly PoolRow[] = [];
    private summedAt: Milliseconds = -Infinity;

    /** Takes the newest summaries of an entry; rows of another form are left out. */
    report(incarnation: string, rows: readonly PoolRow[], now: Milliseconds): void {
        const summaries = rows.flatMap(({ pool, row }) => summaryFromRow(pool, row) ?? []);
        this.reports.set(incarnation, { summaries, reportedAt: now });
    }

    /** The sums over all entries that have reported lately, one for each pool. */
    sumsOf(now: Milliseconds): readonly PoolRow[] {
        if (now - this.summedAt >= sumLifetime) {
            this.summedAt = now;
            this.sums = this.addUp(now);
        }
        return this.sums;
    }

    private addUp(now: Milliseconds): readonly PoolRow[] {
        const byPool = new Map<string, PoolSummary[]>();
        for (const [incarnation, { summaries, reportedAt }] of this.reports) {
            if (now - reportedAt > summaryLifetime) {
                this.reports.delete(incarnation);
                continue;
            }
            for (const summary of summaries) {
                byPool.set(summary.pool, [...(byPool.get(summary.pool) ?? []), summary]);
            }
        }
        return [...byPool].map(([pool, summaries]) => ({ pool, row: summaryToRow(addSummaries(pool, summaries)) }));
    }
}
