import type { Milliseconds } from "../../util/clock.js";

/** Assumed time of a request before the first has ended, in milliseconds. */
const initialServiceTime: Milliseconds = 1_000;

/** Weight of one request in a settled average. */
const smallestWeight = 1 / 64;

/** Learns how long requests hold a slot and how much they produce; gives the rate that a number of slots sustains. */
export class ServiceRate {
    private serviceTime: Milliseconds = initialServiceTime;
    private outputTokens = 0;
    private samples = 0;

    /** Learns from a request that has ended. */
    learn(serviceTime: Milliseconds, outputTokens: number): void {
        this.samples++;
        const weight = Math.max(smallestWeight, 1 / this.samples);
        this.serviceTime += (Math.max(1, serviceTime) - this.serviceTime) * weight;
        this.outputTokens += (outputTokens - this.outputTokens) * weight;
    }

    /** Requests a second that a number of busy slots completes (Little's law). */
    requestsPerSecond(slots: number): number {
        return (slots * 1_000) / this.serviceTime;
    }

    /** Output tokens a second that a number of busy slots makes. */
    tokensPerSecond(slots: number): number {
        return this.requestsPerSecond(slots) * this.outputTokens;
    }
}
