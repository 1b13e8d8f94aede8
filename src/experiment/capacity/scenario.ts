import type { Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";

/** Length of the compressed day. */
export const dayLength: Milliseconds = 4 * 3_600_000;

/** Step of the simulated time. */
export const timeStep: Milliseconds = 5_000;

/** A tier of the experiments: its part of the demand and the time within which its work must be done. */
export interface TierLoad {
    readonly share: number;
    readonly deadline: Milliseconds;
}

/** Tiers of the experiments, the most important first; the first two are protected, the others repeatable. */
export const tierLoads: readonly TierLoad[] = [
    { share: 0.25, deadline: 10_000 },
    { share: 0.15, deadline: 20_000 },
    { share: 0.25, deadline: 60_000 },
    { share: 0.35, deadline: 180_000 },
];

/** Number of protected tiers. */
export const protectedTiers = 2;

/** Largest demand of an ordinary day in tokens a second. */
export const peakDemand = 28_000;

/** A span in which a failure domain has no cheap endpoints; those that run at its start are reclaimed. */
export interface Reclaim {
    readonly failureDomain: string;
    readonly from: Milliseconds;
    readonly until: Milliseconds;
}

/** What happens in an experiment; times count from the start of the measured day. */
export interface Scenario {
    readonly name: string;
    readonly text: string;
    /** Factor of the demand at a time of the measured day. */
    readonly demandFactor: (time: Milliseconds) => number;
    /** Price of a cheap endpoint in millionths of the currency unit an hour. */
    readonly cheapPrice: (time: Milliseconds) => number;
    readonly reclaims: readonly Reclaim[];
}

/** Failure domains of the experiments. */
export const failureDomains = ["hobart-a", "hobart-b", "kingston-c"] as const;

/** Price of a steady endpoint in millionths of the currency unit an hour. */
export const steadyPrice = 4_000_000;

const ordinaryCheapPrice = 1_400_000;
const minute = 60_000;
const middle = dayLength * 0.4;

const ordinary: Omit<Scenario, "name" | "text"> = {
    demandFactor: () => 1,
    cheapPrice: () => ordinaryCheapPrice,
    reclaims: [],
};

/** The experiments. */
export const scenarios: readonly Scenario[] = [
    { ...ordinary, name: "day", text: "a day's shape in four hours" },
    {
        ...ordinary,
        name: "rush",
        text: "demand doubles for twelve minutes without warning",
        demandFactor: time => time >= middle && time < middle + 12 * minute ? 2 : 1,
    },
    {
        ...ordinary,
        name: "reclaim",
        text: "all cheap endpoints of one failure domain are reclaimed for half an hour",
        reclaims: [{ failureDomain: "hobart-a", from: middle, until: middle + 30 * minute }],
    },
    {
        ...ordinary,
        name: "reclaim-twice",
        text: "a second failure domain is reclaimed forty seconds after the first",
        reclaims: [
            { failureDomain: "hobart-a", from: middle, until: middle + 30 * minute },
            { failureDomain: "hobart-b", from: middle + 40_000, until: middle + 30 * minute },
        ],
    },
    {
        ...ordinary,
        name: "one-cheap-domain",
        text: "one failure domain alone offers cheap endpoints, and it is reclaimed for half an hour",
        reclaims: [
            { failureDomain: "hobart-a", from: middle, until: middle + 30 * minute },
            { failureDomain: "hobart-b", from: -Infinity, until: Infinity },
            { failureDomain: "kingston-c", from: -Infinity, until: Infinity },
        ],
    },
    {
        ...ordinary,
        name: "cheap-unavailable",
        text: "no failure domain has cheap endpoints for a whole hour",
        reclaims: failureDomains.map(failureDomain => ({ failureDomain, from: middle, until: middle + 60 * minute })),
    },
    {
        ...ordinary,
        name: "price-change",
        text: "cheap endpoints cost more than steady ones in the second half of the day",
        cheapPrice: time => time < dayLength / 2 ? ordinaryCheapPrice : 4_400_000,
    },
];

/** Demand in tokens a second by step, for one day that teaches the planner and the measured day after it. */
export function demandSeries(scenario: Scenario, seed: number): readonly number[] {
    const random = new RandomSource(seed);
    const stepsADay = dayLength / timeStep;
    let deviation = 0;
    return [...Array(2 * stepsADay).keys()].map(step => {
        const time = (step - stepsADay) * timeStep;
        const position = step % stepsADay / stepsADay;
        const noise = Math.log(random.logNormal(1, 0.02));
        deviation = 0.9 * deviation + noise;
        const factor = time < 0 ? 1 : scenario.demandFactor(time);
        return peakDemand * dayShape(position) * Math.exp(deviation) * factor;
    });
}

/** Two humps, the first one higher, over a floor. */
function dayShape(position: number): number {
    const hump = (centre: number, width: number): number => Math.exp(-(((position - centre) / width) ** 2));
    return 0.25 + 0.75 * Math.min(1, hump(0.38, 0.13) + 0.8 * hump(0.72, 0.11));
}
