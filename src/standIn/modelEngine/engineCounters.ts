/** Cumulative counts of an engine. */
export interface EngineStatistics {
    readonly accepted: number;
    readonly refused: number;
    readonly finished: number;
    readonly cancelled: number;
    readonly tokensMade: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Context tokens that were prefilled, including those recomputed after a preemption. */
    readonly prefilledTokens: number;
    readonly preemptions: number;
}

/** The mutable counters behind {@link EngineStatistics}. */
export class EngineCounters {
    private counts: EngineStatistics = {
        accepted: 0,
        refused: 0,
        finished: 0,
        cancelled: 0,
        tokensMade: 0,
        promptTokens: 0,
        cachedTokens: 0,
        prefilledTokens: 0,
        preemptions: 0,
    };

    /** The current counts. */
    read(): EngineStatistics {
        return this.counts;
    }

    /** Increments the given counts. */
    add(increments: Partial<EngineStatistics>): void {
        const sums = Object.entries(increments).map(([name, value]) => [
            name,
            this.counts[name as keyof EngineStatistics] + value,
        ]);
        this.counts = { ...this.counts, ...(Object.fromEntries(sums) as Partial<EngineStatistics>) };
    }
}
