/** Initial step size of the logarithmic estimate; the step shrinks with the number of samples. */
const initialStep = 1;

/** Minimum step size of the logarithmic estimate; it bounds the error after convergence. */
const minimumStep = 0.02;

/**
 * Estimates a quantile of a stream of positive numbers in constant memory.
 *
 * A stochastic approximation (Robbins and Monro, 1951) on a logarithmic scale. The step size shrinks to a lower bound,
 * so that the estimate keeps adapting when the distribution drifts; compare "Frugal Streaming for Estimating Quantiles"
 * (Ma, Muthukrishnan and Sandler, 2013).
 */
export class QuantileEstimator {
    private logEstimate = 0;
    private addedSamples = 0;

    /** @param quantile The estimated quantile, between 0 and 1. */
    constructor(private readonly quantile: number) {}

    /** Number of samples added. */
    get sampleCount(): number {
        return this.addedSamples;
    }

    /** The current estimate; undefined before the first sample. */
    get estimate(): number | undefined {
        return this.addedSamples === 0 ? undefined : Math.exp(this.logEstimate);
    }

    /** Adds a sample; values below 1 count as 1. */
    addSample(sample: number): void {
        const logSample = Math.log(Math.max(1, sample));
        this.addedSamples += 1;
        if (this.addedSamples === 1) {
            this.logEstimate = logSample;
            return;
        }
        const step = Math.max(minimumStep, initialStep / this.addedSamples);
        this.logEstimate += logSample > this.logEstimate ? step * this.quantile : -step * (1 - this.quantile);
    }
}
