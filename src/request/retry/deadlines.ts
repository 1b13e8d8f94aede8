import type { Milliseconds } from "../../util/clock.js";

/** Deadlines of abort controllers, checked by a periodic sweep instead of one timer each. */
export class Deadlines {
    private readonly deadlines = new Map<AbortController, Milliseconds>();

    /** Number of active deadlines. */
    get size(): number {
        return this.deadlines.size;
    }

    /** Sets or replaces the deadline of a controller; `at` is a monotonic time in milliseconds. */
    set(controller: AbortController, at: Milliseconds): void {
        this.deadlines.set(controller, at);
    }

    /** Removes the deadline of a controller. */
    clear(controller: AbortController): void {
        this.deadlines.delete(controller);
    }

    /** Aborts every controller whose deadline has passed and removes its deadline. */
    sweep(now: Milliseconds): void {
        for (const [controller, at] of this.deadlines) {
            if (now >= at) {
                this.deadlines.delete(controller);
                controller.abort();
            }
        }
    }
}
