import type { Milliseconds } from "../../util/clock.js";

/** Weight of one sample in a settled average. */
const smallestWeight = 1 / 32;

/** An average that forgets old samples exponentially. */
class MovingAverage {
    value = 0;
    count = 0;

    add(sample: number): void {
        this.count++;
        this.value += (sample - this.value) * Math.max(smallestWeight, 1 / this.count);
    }

    reset(): void {
        this.value = 0;
        this.count = 0;
    }
}

/** How fast an endpoint works, as seen by this entry. */
export class EndpointPace {
    private readonly steps = new MovingAverage();
    private readonly beginnings = new MovingAverage();

    /** Samples of the time per token, or per request of a plain service. */
    get stepCount(): number {
        return this.steps.count;
    }

    /** Time per token, or per request of a plain service, in milliseconds. */
    get stepTime(): Milliseconds {
        return this.steps.value;
    }

    /** Samples of the time to the first token. */
    get firstTokenCount(): number {
        return this.beginnings.count;
    }

    /** Time to the first token, in milliseconds. */
    get firstTokenTime(): Milliseconds {
        return this.beginnings.value;
    }

    /** Records the time between two tokens of an answer, or of a whole call of a plain service. */
    recordStep(time: Milliseconds): void {
        this.steps.add(time);
    }

    /** Records the time from dispatch to the first token. */
    recordFirstToken(time: Milliseconds): void {
        this.beginnings.add(time);
    }

    /** Forgets everything, so that a trial is judged by what happens in it. */
    reset(): void {
        this.steps.reset();
        this.beginnings.reset();
    }
}
