import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { HeapNode } from "../../util/indexedHeap.js";

/** An action scheduled for a point in simulated time; a handle to cancel it. */
export type ScheduledEvent = HeapNode<() => void>;

/** Event queue of a discrete-event simulation: runs actions in the order of their simulated times. */
export class EventQueue {
    private readonly scheduled = new IndexedHeap<() => void>();
    private time: Milliseconds = 0;

    /** The current simulated time. */
    get now(): Milliseconds {
        return this.time;
    }

    /** Schedules an action after a delay; a negative delay counts as 0. */
    scheduleAfter(delay: Milliseconds, action: () => void): ScheduledEvent {
        return this.scheduled.insert(action, this.time + Math.max(0, delay));
    }

    /** Schedules an action periodically until the end of the run, first after one interval. */
    scheduleEvery(interval: Milliseconds, action: () => void): void {
        this.scheduleAfter(interval, () => {
            action();
            this.scheduleEvery(interval, action);
        });
    }

    /** Cancels an event; does nothing if it has run already. */
    cancel(event: ScheduledEvent): void {
        this.scheduled.delete(event);
    }

    /** Runs all events up to and including a point in time and advances the clock to it. */
    runUntil(end: Milliseconds): void {
        for (;;) {
            const event = this.scheduled.first;
            if (event === undefined || event.key > end) {
                this.time = end;
                return;
            }
            this.scheduled.delete(event);
            this.time = event.key;
            event.value();
        }
    }
}
