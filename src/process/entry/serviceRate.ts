import type { Milliseconds } from "../../util/clock.js";

/** Assumed service time until the first request has completed, in milliseconds. */
const initialServiceTime: Milliseconds = 1_000;

/** Weight of a request once the averages have enough samples; earlier ones weigh more. */
const minimumWeight = 1 / 64;

/** Estimates throughput from moving averages of the service time and the output tokens of completed requests. */
export class ServiceRate {
    private serviceTime: Milliseconds = initialServiceTime;
    private outputTokens = 0;
    private samples = 0;

    /** Adds a completed request to the averages. */
    observe(serviceTime: Milliseconds, outputTokens: number): void {
        this.samples++;
        const weight = Math.max(minimumWeight, 1 / this.samples);
        this.serviceTime += (Math.max(1, serviceTime) - this.serviceTime) * weight;
        this.outputTokens += (outputTokens - this.outputTokens) * weight;
    }

    /** Requests per second that a number of busy slots completes (Little's law). */
    requestsPerSecond(slots: number): number {
        return (slots * 1_000) / this.serviceTime;
    }

    /** Output tokens per second that a number of busy slots generates; 0 until a request has completed. */
    tokensPerSecond(slots: number): number {
        return this.requestsPerSecond(slots) * this.outputTokens;
    }
}
