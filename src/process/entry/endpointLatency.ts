import type { Milliseconds } from "../../util/clock.js";

/** Weight of a sample once the average has enough of them; earlier samples weigh more. */
const minimumWeight = 1 / 32;

/** Exponentially weighted moving average; equals the arithmetic mean until the minimum weight is reached. */
class ExponentialMovingAverage {
    value = 0;
    count = 0;

    add(sample: number): void {
        this.count++;
        this.value += (sample - this.value) * Math.max(minimumWeight, 1 / this.count);
    }

    reset(): void {
        this.value = 0;
        this.count = 0;
    }
}

/**
 * Average latencies of an endpoint, as measured by this entry.
 *
 * A step is one output token of a model engine, or one whole request of a plain service.
 */
export class EndpointLatency {
    private readonly stepAverage = new ExponentialMovingAverage();
    private readonly firstTokenAverage = new ExponentialMovingAverage();

    /** Number of samples of the step time. */
    get stepCount(): number {
        return this.stepAverage.count;
    }

    /** Average time per step, in milliseconds. */
    get stepTime(): Milliseconds {
        return this.stepAverage.value;
    }

    /** Number of samples of the time to the first token. */
    get firstTokenCount(): number {
        return this.firstTokenAverage.count;
    }

    /** Average time from dispatch to the first token, in milliseconds. */
    get firstTokenTime(): Milliseconds {
        return this.firstTokenAverage.value;
    }

    /** Records the time between two tokens of a response, or the time of a whole request of a plain service. */
    recordStep(time: Milliseconds): void {
        this.stepAverage.add(time);
    }

    /** Records the time from dispatch to the first token. */
    recordFirstToken(time: Milliseconds): void {
        this.firstTokenAverage.add(time);
    }

    /** Discards all samples, so that a trial is judged only by the requests made during it. */
    reset(): void {
        this.stepAverage.reset();
        this.firstTokenAverage.reset();
    }
}
