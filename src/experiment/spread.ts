import type { Figures } from "./experiment.js";

/** How a figure varies over the seeds. */
export interface Spread {
    readonly mean: number;
    readonly lowest: number;
    readonly highest: number;
}

/** Sums up the figures of several runs. */
export function spreadOf(runs: readonly Figures[]): Readonly<Record<string, Spread>> {
    const names = [...new Set(runs.flatMap(run => Object.keys(run)))];
    return Object.fromEntries(names.map(name => [name, spreadOfValues(runs.map(run => run[name] ?? 0))]));
}

function spreadOfValues(values: readonly number[]): Spread {
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    return { mean, lowest: Math.min(...values), highest: Math.max(...values) };
}
