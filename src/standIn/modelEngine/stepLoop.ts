import type { Clock, Milliseconds } from "../../util/clock.js";
import { WakeUp } from "../../util/wakeUp.js";
import type { FaultSet } from "../faultSet.js";
import type { Batch, BatchStep } from "./batch.js";

/** Largest delay that the loop makes up for by shorter pauses, in milliseconds. */
const longestArrears = 50;

/** Runs the steps of a batch at their pace while there is work. */
export class StepLoop {
    private readonly changes = new WakeUp();
    private due: Milliseconds = 0;

    /** @param admitted Called whenever the batch may have changed. */
    constructor(
        private readonly batch: Batch,
        private readonly clock: Clock,
        private readonly faults: FaultSet,
        private readonly admitted: () => void,
    ) {
        faults.onChange(() => {
            this.notify();
        });
    }

    /** Says that there may be work. */
    notify(): void {
        this.changes.wake();
    }

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.batch.admit();
            this.admitted();
            if (this.batch.runningCount === 0 || this.stalled) {
                await this.changes.wait(signal);
                this.due = this.clock.now();
            }
            else {
                await this.step(this.batch.plan(), signal);
            }
        }
    }

    private get stalled(): boolean {
        return this.faults.peek("stall") !== undefined;
    }

    private async step(step: BatchStep, signal: AbortSignal): Promise<void> {
        const now = this.clock.now();
        const slowness = this.faults.peek("straggle")?.factor ?? 1;
        this.due = Math.max(this.due, now - longestArrears) + step.duration * slowness;
        await this.clock.sleep(Math.max(0, this.due - now), signal);
        if (!this.stalled && !signal.aborted) {
            this.batch.execute(step);
        }
    }
}
