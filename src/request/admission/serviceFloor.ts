import type { Milliseconds } from "../../util/clock.js";
import type { ClassQueue } from "./classQueue.js";

/** A waiting class that had no service for this long goes next, in milliseconds. */
export const longestTimeWithoutService: Milliseconds = 10_000;

/** Share of all served tokens that is divided between the waiting classes by weight, whatever their tier. */
const floorShare = 0.04;

/** Largest saved-up claim of a class, in tokens. */
const largestCredit = 20_000;

interface FloorState {
    credit: number;
    servedAt: Milliseconds;
}

/**
 * The floor against starvation: it moves the order of service and never decides who is shed.
 *
 * A waiting class earns credit from a small share of what is served, by weight; it goes next when its credit pays for a
 * request, or when it had no service for {@link longestTimeWithoutService}.
 */
export class ServiceFloor {
    private readonly states = new Map<ClassQueue, FloorState>();

    /** Notes that a class has a waiting request. */
    noteWaiting(waiting: ClassQueue, now: Milliseconds): void {
        if (!this.states.has(waiting)) {
            this.states.set(waiting, { credit: 0, servedAt: now });
        }
    }

    /** Forgets a class that is gone. */
    forget(gone: ClassQueue): void {
        this.states.delete(gone);
    }

    /** Notes that a request of a class was taken, and divides the floor's share of it. */
    noteServed(served: ClassQueue, tokens: number, now: Milliseconds): void {
        const state = this.states.get(served);
        if (state !== undefined) {
            state.credit = Math.max(0, state.credit - tokens);
            state.servedAt = now;
        }
        this.divide(tokens * floorShare);
    }

    /** Whether a class's only waiting request of a cost will go next, however long the queues above it are. */
    owes(waiting: ClassQueue, cost: number, now: Milliseconds): boolean {
        const state = this.states.get(waiting);
        return state !== undefined && waiting.size === 1 && (isOverdue(state, now) || state.credit >= cost);
    }

    /** The class that must go next; undefined when the tiers decide. */
    due(now: Milliseconds, costOfNext: (waiting: ClassQueue) => number): ClassQueue | undefined {
        let longest: ClassQueue | undefined;
        let earliest = Infinity;
        let paid: ClassQueue | undefined;
        for (const [waiting, state] of this.states) {
            if (waiting.size === 0) {
                continue;
            }
            if (isOverdue(state, now) && state.servedAt < earliest) {
                longest = waiting;
                earliest = state.servedAt;
            }
            if (paid === undefined && state.credit > 0 && state.credit >= costOfNext(waiting)) {
                paid = waiting;
            }
        }
        return longest ?? paid;
    }

    private divide(tokens: number): void {
        let weights = 0;
        for (const waiting of this.states.keys()) {
            weights += waiting.size === 0 ? 0 : waiting.weight;
        }
        for (const [waiting, state] of this.states) {
            if (waiting.size === 0) {
                continue;
            }
            state.credit = Math.min(largestCredit, state.credit + (tokens * waiting.weight) / weights);
        }
    }
}

function isOverdue(state: FloorState, now: Milliseconds): boolean {
    return now - state.servedAt >= longestTimeWithoutService;
}
