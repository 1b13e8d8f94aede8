import type { Milliseconds } from "../../util/clock.js";

/** Changes that are remembered at most. */
const maximumSamples = 64;

/** Changes within this time are remembered as one, in milliseconds. */
const sampleInterval: Milliseconds = 20;

/** Remembers how many requests this entry ran at an endpoint in the last seconds. */
export class OwnLoadHistory {
    private times: Milliseconds[] = [];
    private counts: number[] = [];

    /** Records the number from now on. */
    record(count: number, now: Milliseconds): void {
        const last = this.times.length - 1;
        const lastTime = this.times[last];
        if (lastTime !== undefined && now - lastTime < sampleInterval) {
            this.counts[last] = count;
            return;
        }
        this.times.push(now);
        this.counts.push(count);
        if (this.times.length >= 2 * maximumSamples) {
            this.times = this.times.slice(-maximumSamples);
            this.counts = this.counts.slice(-maximumSamples);
        }
    }

    /** The number at a past time; before the oldest remembered change, the number after that change. */
    at(time: Milliseconds): number {
        for (let index = this.times.length - 1; index >= 0; index--) {
            if ((this.times[index] ?? 0) <= time) {
                return this.counts[index] ?? 0;
            }
        }
        return this.times.length >= maximumSamples ? this.counts[0] ?? 0 : 0;
    }
}
