import type { Clock, Milliseconds } from "../../util/clock.js";
import type { FaultSet } from "../faultSet.js";
import type { Batch } from "./batch.js";

/** Largest delay that the loop makes up for by shorter pauses, in milliseconds. */
const longestArrears = 50;

/** Runs the steps of a batch at their pace while there is work. */
export class StepLoop {
    private wake: (() => void) | undefined;
    private due: Milliseconds = 0;

    /** @param stepped Called after each step and each arrival. */
    constructor(
        private readonly batch: Batch,
        private readonly clock: Clock,
        private readonly faults: FaultSet,
        private readonly stepped: () => void,
    ) {
        faults.onChange(() => {
            this.notify();
        });
    }

    /** Says that there is work. */
    notify(): void {
        this.wake?.();
    }

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        signal.addEventListener("abort", () => {
            this.notify();
        });
        while (!signal.aborted) {
            this.batch.admit();
            this.stepped();
            if (this.batch.runningCount === 0 || this.faults.peek("stall") !== undefined) {
                await this.idle();
            }
            else {
                await this.step(signal);
            }
        }
    }

    private async step(signal: AbortSignal): Promise<void> {
        const step = this.batch.plan();
        const now = this.clock.now();
        const slowness = this.faults.peek("straggle")?.factor ?? 1;
        this.due = Math.max(this.due, now - longestArrears) + step.duration * slowness;
        await this.clock.sleep(Math.max(0, this.due - now), signal);
        if (this.faults.peek("stall") === undefined && !signal.aborted) {
            this.batch.execute(step);
        }
    }

    private async idle(): Promise<void> {
        await new Promise<void>(resolve => {
            this.wake = resolve;
        });
        this.wake = undefined;
        this.due = Math.max(this.due, this.clock.now());
    }
}
