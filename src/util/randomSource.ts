import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded pseudo-random number generator; equal seeds give equal sequences. */
export class RandomSource {
    private readonly generator;

    /** @param seed A 32-bit integer. */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** A uniformly distributed number in [0, 1). */
    float(): number {
        return uniformFloat64(this.generator);
    }

    /** A uniformly distributed integer in [lowest, highest], both included. */
    integer(minimum: number, maximum: number): number {
        return uniformInt(this.generator, minimum, maximum);
    }

    /** One of the items, chosen with equal probability; undefined if there are none. */
    pick<T>(items: readonly [T, ...T[]]): T;
    pick<T>(items: readonly T[]): T | undefined;
    pick<T>(items: readonly T[]): T | undefined {
        return items[this.integer(0, Math.max(0, items.length - 1))];
    }

    /** An exponentially distributed number with the given mean. */
    exponential(mean: number): number {
        return -mean * Math.log(1 - this.float());
    }

    /**
     * A log-normally distributed number.
     *
     * @param median The median of the distribution.
     * @param sigma The standard deviation of the logarithm.
     */
    logNormal(median: number, sigma: number): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
        return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.float()));
    }
}
