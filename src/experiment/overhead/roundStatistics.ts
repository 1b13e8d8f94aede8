/** Minimum, median and maximum of the values of several rounds. */
export interface RoundStatistics {
    readonly lowest: number;
    readonly median: number;
    readonly highest: number;
}

/** Returns the median: the middle value, or the mean of the two middle values; 0 without values. */
export function median(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
    const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? 0;
    return (lower + upper) / 2;
}

/** Summarises the values of the rounds for each name. */
export function summariseRounds(
    rounds: Readonly<Record<string, readonly number[]>>,
): Readonly<Record<string, RoundStatistics>> {
    const statistics = Object.entries(rounds).map(([name, values]) => [
        name,
        { lowest: Math.min(...values), median: median(values), highest: Math.max(...values) },
    ]);
    return Object.fromEntries(statistics) as Readonly<Record<string, RoundStatistics>>;
}

/** Summarises the differences between entry and proxy within each round. */
export function entryOverhead(
    rounds: { readonly proxy: readonly number[]; readonly entry: readonly number[]; },
): RoundStatistics {
    const overheads = rounds.entry.map((value, round) => value - (rounds.proxy[round] ?? 0));
    return { lowest: Math.min(...overheads), median: median(overheads), highest: Math.max(...overheads) };
}
