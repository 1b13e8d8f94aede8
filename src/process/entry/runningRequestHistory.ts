import type { Milliseconds } from "../../util/clock.js";

/** Number of most recent samples that are always retained; older ones are discarded in batches. */
const retainedSamples = 64;

/** Period whose changes are merged into one sample, in milliseconds. */
const sampleInterval: Milliseconds = 20;

/** Recent history of the number of requests that this entry was running at an endpoint. */
export class RunningRequestHistory {
    private times: Milliseconds[] = [];
    private counts: number[] = [];

    /** Records a change of the number. */
    record(count: number, now: Milliseconds): void {
        const last = this.times.length - 1;
        const lastTime = this.times[last];
        if (lastTime !== undefined && now - lastTime < sampleInterval) {
            this.counts[last] = count;
            return;
        }
        this.times.push(now);
        this.counts.push(count);
        if (this.times.length >= 2 * retainedSamples) {
            this.times = this.times.slice(-retainedSamples);
            this.counts = this.counts.slice(-retainedSamples);
        }
    }

    /**
     * Returns the number at a past time.
     *
     * For times before the oldest sample, returns its number if earlier samples may have been discarded, or else 0.
     */
    countAt(time: Milliseconds): number {
        for (let index = this.times.length - 1; index >= 0; index--) {
            if ((this.times[index] ?? 0) <= time) {
                return this.counts[index] ?? 0;
            }
        }
        return this.times.length >= retainedSamples ? this.counts[0] ?? 0 : 0;
    }
}
