/** Largest step of the logarithm of an estimate, taken by the first samples. */
const largestStep = 1;

/** Smallest step of the logarithm of an estimate; it bounds the error of a settled estimate. */
const smallestStep = 0.02;

/**
 * Follows a quantile of a stream of positive numbers in constant memory.
 *
 * A stochastic approximation (Robbins and Monro, 1951) on a logarithmic scale, with a step that shrinks to a floor, so
 * that the estimate follows a distribution that drifts; compare "Frugal Streaming for Estimating Quantiles" (Ma,
 * Muthukrishnan and Sandler, 2013).
 */
export class RunningQuantile {
    private logarithm = 0;
    private samples = 0;

    /** @param quantile The quantile that is followed, between 0 and 1. */
    constructor(private readonly quantile: number) {}

    /** Number of samples seen. */
    get count(): number {
        return this.samples;
    }

    /** The present estimate; undefined before the first sample. */
    get value(): number | undefined {
        return this.samples === 0 ? undefined : Math.exp(this.logarithm);
    }

    /** Takes a sample into account; anything below one counts as one. */
    add(sample: number): void {
        const logarithm = Math.log(Math.max(1, sample));
        this.samples += 1;
        if (this.samples === 1) {
            this.logarithm = logarithm;
            return;
        }
        const step = Math.max(smallestStep, largestStep / this.samples);
        this.logarithm += logarithm > this.logarithm ? step * this.quantile : -step * (1 - this.quantile);
    }
}
