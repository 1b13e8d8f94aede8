/** What one run of a scenario under one policy gave; shares are between 0 and 1. */
export interface PolicyFigures {
    /** Share of the demands of each class that were answered within the target, counted from the first attempt. */
    readonly attainment: Readonly<Record<string, number>>;
    /** Output tokens a second of answers that met the target, counted from the attempt that was answered. */
    readonly goodput: number;
    /** Share of the tokens made that were not delivered in a whole answer, or were processed again after preemption. */
    readonly wastedShare: number;
    /** Attainment of the team with the lowest one. */
    readonly worstTeam: number;
    /** Attainment of the worst team among those whose demand fits a fair share of the capacity. */
    readonly worstSmallTeam: number;
    /** Attempts that were refused, by tier. */
    readonly refusedByTier: readonly number[];
    /** Interruptions of running requests. */
    readonly preemptions: number;
    /** Longest time that each class had demand and no running request, in seconds. */
    readonly longestWithoutService: Readonly<Record<string, number>>;
    /** Attempts for each demand. */
    readonly attemptsPerDemand: number;
}
