import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";

/** Length of a simulated day: 24 hours compressed into 4. */
export const dayLength: Milliseconds = 4 * 3_600_000;

/** Time step of the simulation. */
export const timeStep: Milliseconds = 5_000;

/** Load of a tier: its fraction of the demand and the deadline of its work. */
export interface TierLoad {
    readonly demandFraction: number;
    readonly deadline: Milliseconds;
}

/** Load by tier, the highest first; the first two tiers are protected, the work of the others is interruptible. */
export const tierLoads: readonly TierLoad[] = [
    { demandFraction: 0.25, deadline: 10_000 },
    { demandFraction: 0.15, deadline: 20_000 },
    { demandFraction: 0.25, deadline: 60_000 },
    { demandFraction: 0.35, deadline: 180_000 },
];

/** Number of protected tiers. */
export const protectedTierCount = 2;

/** Peak demand of a day without events, except for noise. */
export const peakTokensPerSecond = 28_000;

/** A period in which a failure domain offers no cheap endpoints; those existing at its start are reclaimed. */
export interface Reclaim {
    readonly failureDomain: string;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
}

/** Demand, prices and reclaims of an experiment; times are relative to the start of the measured day. */
export interface Scenario {
    readonly name: string;
    readonly description: string;
    /** Returns the factor of the demand at a time of the measured day. */
    readonly demandFactorAt: (time: Milliseconds) => number;
    /** Returns the price of a cheap endpoint, in millionths of the currency unit per hour. */
    readonly cheapPricePerHourAt: (time: Milliseconds) => number;
    readonly reclaims: readonly Reclaim[];
}

/** Failure domains of the experiments. */
export const failureDomains = ["hobart-a", "hobart-b", "kingston-c"] as const;

/** Price of a steady endpoint, in millionths of the currency unit per hour. */
export const steadyPricePerHour = 4_000_000;

const defaultCheapPricePerHour = 1_400_000;
const millisecondsPerMinute = 60_000;
const eventTime = dayLength * 0.4;

const defaultScenario: Omit<Scenario, "name" | "description"> = {
    demandFactorAt: () => 1,
    cheapPricePerHourAt: () => defaultCheapPricePerHour,
    reclaims: [],
};

/** All scenarios. */
export const scenarios: readonly Scenario[] = [
    { ...defaultScenario, name: "day", description: "demand of a day, compressed into four hours" },
    {
        ...defaultScenario,
        name: "rush",
        description: "demand doubles for twelve minutes without warning",
        demandFactorAt: time => time >= eventTime && time < eventTime + 12 * millisecondsPerMinute ? 2 : 1,
    },
    {
        ...defaultScenario,
        name: "reclaim",
        description: "all cheap endpoints of one failure domain are reclaimed for half an hour",
        reclaims: [{ failureDomain: "hobart-a", from: eventTime, until: eventTime + 30 * millisecondsPerMinute }],
    },
    {
        ...defaultScenario,
        name: "reclaim-twice",
        description: "cheap endpoints of a second failure domain are reclaimed 40 seconds after those of the first",
        reclaims: [
            { failureDomain: "hobart-a", from: eventTime, until: eventTime + 30 * millisecondsPerMinute },
            { failureDomain: "hobart-b", from: eventTime + 40_000, until: eventTime + 30 * millisecondsPerMinute },
        ],
    },
    {
        ...defaultScenario,
        name: "one-cheap-domain",
        description: "only one failure domain offers cheap endpoints, and they are reclaimed for half an hour",
        reclaims: [
            { failureDomain: "hobart-a", from: eventTime, until: eventTime + 30 * millisecondsPerMinute },
            { failureDomain: "hobart-b", from: -Infinity, until: Infinity },
            { failureDomain: "kingston-c", from: -Infinity, until: Infinity },
        ],
    },
    {
        ...defaultScenario,
        name: "cheap-unavailable",
        description: "no failure domain offers cheap endpoints for an hour",
        reclaims: failureDomains.map(failureDomain => ({
            failureDomain,
            from: eventTime,
            until: eventTime + 60 * millisecondsPerMinute,
        })),
    },
    {
        ...defaultScenario,
        name: "price-change",
        description: "cheap endpoints cost more than steady ones in the second half of the day",
        cheapPricePerHourAt: time => time < dayLength / 2 ? defaultCheapPricePerHour : 4_400_000,
    },
];

/** Returns the demand in tokens per second by time step, for the training day and the measured day after it. */
export function createDemandSeries(scenario: Scenario, seed: number): readonly number[] {
    const random = new RandomSource(seed);
    const stepsPerDay = dayLength / timeStep;
    let logDeviation = 0;
    return [...Array(2 * stepsPerDay).keys()].map(step => {
        const time = (step - stepsPerDay) * timeStep;
        const dayFraction = step % stepsPerDay / stepsPerDay;
        const noise = Math.log(random.logNormal(1, 0.02));
        logDeviation = 0.9 * logDeviation + noise;
        const factor = time < 0 ? 1 : scenario.demandFactorAt(time);
        return peakTokensPerSecond * relativeDemandAt(dayFraction) * Math.exp(logDeviation) * factor;
    });
}

/** Returns the demand relative to the daily peak: a base load with a higher peak and a lower one after it. */
function relativeDemandAt(dayFraction: number): number {
    const peak = (center: number, width: number): number => Math.exp(-(((dayFraction - center) / width) ** 2));
    return 0.25 + 0.75 * Math.min(1, peak(0.38, 0.13) + 0.8 * peak(0.72, 0.11));
}
