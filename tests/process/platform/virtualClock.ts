import { setImmediate as nextTurn } from "node:timers/promises";
import { Clock } from "../../../src/util/clock.js";
import type { Milliseconds } from "../../../src/util/clock.js";

interface PendingSleep {
    readonly until: Milliseconds;
    readonly wake: () => void;
}

/** A clock that advances only while every task sleeps. */
export class VirtualClock extends Clock {
    private time = 0;
    private pendingSleeps: readonly PendingSleep[] = [];

    override now(): Milliseconds {
        return this.time;
    }

    override unixNow(): number {
        return this.time;
    }

    override sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const wake = (): void => {
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            this.pendingSleeps = [...this.pendingSleeps, { until: this.time + duration, wake }];
            signal?.addEventListener("abort", wake);
        });
    }

    /** Runs the tasks until the given time. */
    async runUntil(end: Milliseconds): Promise<void> {
        await nextTurn();
        for (;;) {
            const next = Math.min(...this.pendingSleeps.map(pending => pending.until));
            if (next > end) {
                this.time = end;
                return;
            }
            this.time = Math.max(this.time, next);
            const due = this.pendingSleeps.filter(pending => pending.until <= this.time);
            this.pendingSleeps = this.pendingSleeps.filter(pending => pending.until > this.time);
            due.forEach(pending => {
                pending.wake();
            });
            await nextTurn();
        }
    }
}
