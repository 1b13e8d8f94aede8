import type { Metrics } from "./experiment.js";

/** How a figure varies over the seeds. */
export interface SeedStatistics {
    readonly mean: number;
    readonly lowest: number;
    readonly highest: number;
}

/** Sums up the figures of several runs. */
export function summarizeRuns(runs: readonly Metrics[]): Readonly<Record<string, SeedStatistics>> {
    const names = [...new Set(runs.flatMap(run => Object.keys(run)))];
    return Object.fromEntries(names.map(name => [name, summarizeValues(runs.map(run => run[name] ?? 0))]));
}

function summarizeValues(values: readonly number[]): SeedStatistics {
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    return { mean, lowest: Math.min(...values), highest: Math.max(...values) };
}
