import type { Milliseconds } from "../../util/clock.js";

/** Aborts what has not ended or moved on in time; looked through at regular intervals, without a timer for each. */
export class Deadlines {
    private readonly deadlines = new Map<AbortController, Milliseconds>();

    /** Number of deadlines that are watched. */
    get size(): number {
        return this.deadlines.size;
    }

    /** Sets or moves the deadline of a controller. */
    set(controller: AbortController, at: Milliseconds): void {
        this.deadlines.set(controller, at);
    }

    /** Stops watching a controller. */
    clear(controller: AbortController): void {
        this.deadlines.delete(controller);
    }

    /** Aborts every controller whose deadline has passed. */
    sweep(now: Milliseconds): void {
        for (const [controller, at] of this.deadlines) {
            if (now >= at) {
                this.deadlines.delete(controller);
                controller.abort();
            }
        }
    }
}
