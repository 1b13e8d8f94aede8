import type { RequestClass } from "../../../version/manifest.js";

/** Makes a class of an experiment from what differs from the defaults. */
export function buildClass(
    name: string,
    tier: number,
    totalMilliseconds: number,
    changes: Partial<RequestClass> = {},
): RequestClass {
    return {
        name,
        tier,
        weight: 1,
        target: { totalMilliseconds },
        preemptible: false,
        maximumOutputTokens: 2_048,
        ...changes,
    };
}

/** Mean of a log-normal distribution, which sizes the arrivals for a share of the capacity. */
export function meanOf(median: number, sigma: number): number {
    return median * Math.exp((sigma * sigma) / 2);
}
