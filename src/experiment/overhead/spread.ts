/** Lowest, middle and highest of several rounds. */
export interface Spread {
    readonly lowest: number;
    readonly median: number;
    readonly highest: number;
}

/** The middle value, or the mean of the two middle ones. */
export function median(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
    const lower = sorted[Math.ceil(sorted.length / 2) - 1] ?? 0;
    return (lower + upper) / 2;
}

/** The spread of the rounds of each name. */
export function spreadOf(figures: Readonly<Record<string, readonly number[]>>): Readonly<Record<string, Spread>> {
    const spreads = Object.entries(figures).map(([name, values]) => [
        name,
        { lowest: Math.min(...values), median: median(values), highest: Math.max(...values) },
    ]);
    return Object.fromEntries(spreads) as Readonly<Record<string, Spread>>;
}

/** What an entry adds over the bare proxy, round by round. */
export function addedTime(figures: { readonly proxy: readonly number[]; readonly entry: readonly number[]; }): Spread {
    const added = figures.entry.map((value, round) => value - (figures.proxy[round] ?? 0));
    return { lowest: Math.min(...added), median: median(added), highest: Math.max(...added) };
}
