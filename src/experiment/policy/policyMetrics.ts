/** Metrics of one run of a scenario under one policy; fractions are between 0 and 1. */
export interface PolicyMetrics {
    /** Fraction of logical requests completed within the target, measured from the first attempt, by class. */
    readonly attainment: Readonly<Record<string, number>>;
    /** Output tokens per second of responses within the target, measured from the completed attempt. */
    readonly goodput: number;
    /** Fraction of generated tokens not delivered in a complete response or processed again after a preemption. */
    readonly wastedShare: number;
    /** Lowest attainment of a team. */
    readonly worstTeam: number;
    /** Lowest attainment of a team whose requests need no more than a fair share of the capacity. */
    readonly worstSmallTeam: number;
    /** Number of refused attempts, by tier. */
    readonly refusedByTier: readonly number[];
    /** Number of interruptions of running requests. */
    readonly preemptions: number;
    /** Longest time with waiting but no running requests, in seconds, by class. */
    readonly longestSecondsWithoutService: Readonly<Record<string, number>>;
    /** Mean number of attempts per logical request. */
    readonly attemptsPerRequest: number;
}
