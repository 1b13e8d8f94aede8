/** What an engine has done so far. */
export interface EngineFigures {
    readonly accepted: number;
    readonly refused: number;
    readonly finished: number;
    readonly cancelled: number;
    readonly tokensMade: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Tokens of context that were computed. */
    readonly prefilledTokens: number;
    readonly preemptions: number;
}

/** Counts what an engine does. */
export class EngineCounters {
    private figures: EngineFigures = {
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

    /** The counts at present. */
    read(): EngineFigures {
        return this.figures;
    }

    /** Adds to some of the counts. */
    add(increments: Partial<EngineFigures>): void {
        const sums = Object.entries(increments).map(([name, value]) => [
            name,
            this.figures[name as keyof EngineFigures] + value,
        ]);
        this.figures = { ...this.figures, ...(Object.fromEntries(sums) as Partial<EngineFigures>) };
    }
}
