import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { ClassQueue } from "./classQueue.js";
import type { QueuedRequest, TeamShare } from "./teamQueue.js";

/** The waiting requests of all classes of one tier. */
export class TierQueue {
    private readonly classes: ClassQueue[] = [];
    private readonly victims = new IndexedHeap<TeamShare>();
    private virtualTime = 0;

    /** Adds a class. */
    addClass(added: ClassQueue): void {
        added.counter = this.virtualTime;
        this.classes.push(added);
    }

    /** Removes a class that has nothing left. */
    removeClass(removed: ClassQueue): void {
        const index = this.classes.indexOf(removed);
        if (index >= 0) {
            this.classes.splice(index, 1);
        }
    }

    /** Number of waiting requests that were not begun; these alone may be shed. */
    get sheddable(): number {
        return this.classes.reduce((sum, each) => sum + each.arrivals.size, 0);
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.classes.reduce((sum, each) => sum + each.size, 0);
    }

    /** Number of requests that can still meet their target or that wait to be resumed. */
    get punctualSize(): number {
        return this.classes.reduce((sum, each) => sum + each.punctualSize, 0);
    }

    /** Predicted output tokens of the requests counted by {@link punctualSize}. */
    get punctualOutput(): number {
        return this.classes.reduce((sum, each) => sum + each.punctualOutput, 0);
    }

    /** The classes of the tier. */
    get members(): readonly ClassQueue[] {
        return this.classes;
    }

    /** The arrival time of the oldest request that was not begun. */
    get oldestArrival(): Milliseconds | undefined {
        const times = this.classes.flatMap(each => each.arrivals.first?.request.arrivedAt ?? []);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /** The request that goes next in this tier: resumed, then punctual, then late ones. */
    next(now: Milliseconds): QueuedRequest | undefined {
        return this.smallest(each => each.resumed.first)
            ?? this.smallest(each => each.nextPunctual(now))
            ?? this.smallest(each => each.late.first);
    }

    /** Remembers that a class was served, so that one that returns after a pause cannot save up service. */
    noteServed(served: ClassQueue): void {
        this.virtualTime = Math.max(this.virtualTime, served.counter);
    }

    /** Prepares a class whose first request is about to be added. */
    noteReturn(returning: ClassQueue): void {
        if (returning.size === 0) {
            returning.counter = Math.max(returning.counter, this.virtualTime);
        }
    }

    /** Updates the place of a team among those that a shed request is chosen from. */
    updateVictim(share: TeamShare): void {
        const key = -share.queuedCost / share.weight;
        if (share.size === 0) {
            if (share.victimMember !== undefined) {
                this.victims.delete(share.victimMember);
                share.victimMember = undefined;
            }
        }
        else if (share.victimMember === undefined) {
            share.victimMember = this.victims.insert(share, key);
        }
        else {
            this.victims.update(share.victimMember, key);
        }
    }

    /** The youngest request of the team whose waiting requests exceed its weight the most. */
    heaviestTeamsYoungest(): QueuedRequest | undefined {
        return this.victims.first?.value.youngest;
    }

    /** The request that arrived last, whatever its team. */
    youngest(): QueuedRequest | undefined {
        let chosen: QueuedRequest | undefined;
        for (const each of this.classes) {
            const candidate = each.arrivals.last;
            if (candidate !== undefined && candidate.request.arrivedAt >= (chosen?.request.arrivedAt ?? -Infinity)) {
                chosen = candidate;
            }
        }
        return chosen;
    }

    private smallest(
        candidateOf: (each: ClassQueue) => QueuedRequest | undefined,
    ): QueuedRequest | undefined {
        let chosen: QueuedRequest | undefined;
        let counter = Infinity;
        for (const each of this.classes) {
            const candidate = each.counter < counter ? candidateOf(each) : undefined;
            if (candidate !== undefined) {
                chosen = candidate;
                counter = each.counter;
            }
        }
        return chosen;
    }
}
