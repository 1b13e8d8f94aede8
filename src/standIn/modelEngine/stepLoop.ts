import type { Clock, Milliseconds } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import type { FaultSet } from "../faultSet.js";
import type { Batch, BatchStep } from "./batch.js";

/** Maximum delay that the loop recovers by shorter pauses, in milliseconds; the excess of a longer delay is dropped. */
const maximumCatchUpMilliseconds = 50;

/** Executes the steps of a batch in real time while there is work. */
export class StepLoop {
    private readonly wakeUp = new ConditionVariable();
    private nextStepEnd: Milliseconds = 0;

    /** @param onBatchChange Called when the batch may have changed. */
    constructor(
        private readonly batch: Batch,
        private readonly clock: Clock,
        private readonly faults: FaultSet,
        private readonly onBatchChange: () => void,
    ) {
        faults.onChange(() => {
            this.wake();
        });
    }

    /** Wakes the loop because there may be work. */
    wake(): void {
        this.wakeUp.notifyAll();
    }

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.batch.admit();
            this.onBatchChange();
            if (this.batch.runningCount === 0 || this.stalled) {
                await this.wakeUp.wait(signal);
                this.nextStepEnd = this.clock.now();
            }
            else {
                await this.step(this.batch.planStep(), signal);
            }
        }
    }

    private get stalled(): boolean {
        return this.faults.peek("stall") !== undefined;
    }

    private async step(step: BatchStep, signal: AbortSignal): Promise<void> {
        const now = this.clock.now();
        const straggleFactor = this.faults.peek("straggle")?.factor ?? 1;
        this.nextStepEnd = Math.max(this.nextStepEnd, now - maximumCatchUpMilliseconds)
            + step.duration * straggleFactor;
        await this.clock.sleep(Math.max(0, this.nextStepEnd - now), signal);
        if (!this.stalled && !signal.aborted) {
            this.batch.executeStep(step);
        }
    }
}
