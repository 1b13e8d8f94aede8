import type { RequestClass } from "../../../version/manifest.js";

/** Creates a request class with default values except for the given ones. */
export function createRequestClass(
    name: string,
    tier: number,
    totalMilliseconds: number,
    overrides: Partial<RequestClass> = {},
): RequestClass {
    return {
        name,
        tier,
        weight: 1,
        target: { totalMilliseconds },
        preemptible: false,
        maximumOutputTokens: 2_048,
        ...overrides,
    };
}

/** Returns the mean of a log-normal distribution, used to derive arrival rates from fractions of the capacity. */
export function logNormalMean(median: number, sigma: number): number {
    return median * Math.exp((sigma * sigma) / 2);
}
