import type { Clock, Milliseconds } from "./clock.js";

/**
 * Runs a task when it is requested, not more often than at an interval; requests that come meanwhile share the next run.
 */
export class CoalescedTask {
    private isPending = false;
    private nextRunAt: Milliseconds = -Infinity;

    /**
     * @param interval Minimum time between the starts of two runs.
     * @param signal Ends the waits when aborted; the task is not run then.
     */
    constructor(
        private readonly clock: Clock,
        private readonly interval: () => Milliseconds,
        private readonly run: () => void,
        private readonly signal: AbortSignal,
    ) {}

    /** Requests a run, in a later turn of the event loop. */
    request(): void {
        if (this.isPending || this.signal.aborted) {
            return;
        }
        this.isPending = true;
        const delay = Math.max(0, this.nextRunAt - this.clock.now());
        void this.clock.sleep(delay, this.signal).then(() => {
            this.isPending = false;
            if (!this.signal.aborted) {
                this.nextRunAt = this.clock.now() + this.interval();
                this.run();
            }
        });
    }
}
