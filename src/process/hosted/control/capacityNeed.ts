import type { Milliseconds } from "../../../util/clock.js";

/** Target fraction of engine time in use. The headroom keeps queueing delays and gaps between tokens short in a burst. */
const targetUtilization = 0.5;

/** How long demand must stay lower before endpoints are released, so that capacity is still there for the next burst. */
const holdTime: Milliseconds = 10_000;

/** Minimum time between two releases; each releases one endpoint. */
const stepTime: Milliseconds = 1_000;

/** Estimates how many endpoints a service needs: scales up immediately and down slowly. */
export class CapacityNeed {
    private wanted: number;
    private lowerSince: Milliseconds | undefined;

    /** @param present Number of endpoints serving at the start; it is kept until traffic shows the actual demand. */
    constructor(present: number) {
        this.wanted = present;
    }

    /** Number of endpoints needed. */
    get endpoints(): number {
        return this.wanted;
    }

    /**
     * Updates the estimate from the load that the entries report.
     *
     * @param work Engine time used by calls, in milliseconds per second; 0 leaves the estimate unchanged.
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
