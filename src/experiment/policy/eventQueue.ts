import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";

/** An action that is planned for a point of simulated time. */
export type PlannedAction = HeapNode<() => void>;

/** Runs actions in the order of a simulated time, which passes only between them. */
export class EventQueue {
    private readonly planned = new IndexedHeap<() => void>();
    private time: Milliseconds = 0;

    /** The present simulated time. */
    get now(): Milliseconds {
        return this.time;
    }

    /** Plans an action after a span of time. */
    after(delay: Milliseconds, action: () => void): PlannedAction {
        return this.planned.insert(action, this.time + Math.max(0, delay));
    }

    /** Plans an action again and again until the end of the run. */
    every(interval: Milliseconds, action: () => void): void {
        this.after(interval, () => {
            action();
            this.every(interval, action);
        });
    }

    /** Takes back an action that has not run; does nothing when it has. */
    cancel(action: PlannedAction): void {
        this.planned.delete(action);
    }

    /** Runs every action up to a point of time. */
    runUntil(end: Milliseconds): void {
        for (;;) {
            const next = this.planned.first;
            if (next === undefined || next.key > end) {
                this.time = end;
                return;
            }
            this.planned.delete(next);
            this.time = next.key;
            next.value();
        }
    }
}
