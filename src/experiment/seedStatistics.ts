import type { Metrics } from "./experiment.js";

/** Mean, minimum and maximum of a metric over the seeds. */
export interface SeedStatistics {
    readonly mean: number;
    readonly lowest: number;
    readonly highest: number;
}

/** Aggregates the metrics of several runs by name; a metric missing from a run counts as 0. */
export function summarizeRuns(runs: readonly Metrics[]): Readonly<Record<string, SeedStatistics>> {
    const names = [...new Set(runs.flatMap(run => Object.keys(run)))];
    return Object.fromEntries(names.map(name => [name, summarizeValues(runs.map(run => run[name] ?? 0))]));
}

function summarizeValues(values: readonly number[]): SeedStatistics {
    const mean = values.reduce((total, value) => total + value, 0) / values.length;
    return { mean, lowest: Math.min(...values), highest: Math.max(...values) };
}
