import type { Milliseconds } from "../../../util/clock.js";

/** Part of an engine's time that calls may take on average; the rest keeps waits and pauses short in a burst. */
const targetUtilization = 0.5;

/** How long the need must be lower before endpoints are given back, so that a lull does not cost the next burst. */
const holdTime: Milliseconds = 10_000;

/** Shortest time between two steps down. */
const stepTime: Milliseconds = 1_000;

/** Follows how many endpoints a service needs: up at once, down slowly. */
export class CapacityNeed {
    private wanted: number;
    private lowerSince: Milliseconds | undefined;

    /** @param present Endpoints that serve at first; they are kept until traffic has shown what is needed. */
    constructor(present: number) {
        this.wanted = present;
    }

    /** Endpoints that are wanted. */
    get endpoints(): number {
        return this.wanted;
    }

    /**
     * Takes what the entries tell.
     *
     * @param work Engine time that calls take, in milliseconds a second; without any, nothing is known of the need.
     */
    note(work: number, now: Milliseconds): void {
        const needed = work === 0 ? this.wanted : Math.ceil(work / 1_000 / targetUtilization);
        if (needed >= this.wanted) {
            this.wanted = needed;
            this.lowerSince = undefined;
            return;
        }
        this.lowerSince ??= now;
        if (now - this.lowerSince >= holdTime) {
            this.wanted--;
            this.lowerSince += stepTime;
        }
    }
}
