import type { Milliseconds } from "../../util/clock.js";
import { IndexedHeap } from "../../util/indexedHeap.js";
import type { ClassQueue } from "./classQueue.js";
import type { QueuedRequest, TeamQueue } from "./teamQueue.js";

/** Queue of the waiting requests of one tier, over all its classes. */
export class TierQueue {
    private readonly classes: ClassQueue[] = [];
    private readonly teamsByQueuedTokens = new IndexedHeap<TeamQueue>();
    /** Virtual time of the tier: the largest counter of a class that was served. */
    private virtualTime = 0;

    /** Adds a class; its counter starts at the virtual time of the tier. */
    addClass(classQueue: ClassQueue): void {
        classQueue.virtualTokens = this.virtualTime;
        this.classes.push(classQueue);
    }

    /** Removes a class, which must be empty. */
    removeClass(classQueue: ClassQueue): void {
        const index = this.classes.indexOf(classQueue);
        if (index >= 0) {
            this.classes.splice(index, 1);
        }
    }

    /** Number of waiting requests that have not started; only these may be shed. */
    get sheddableCount(): number {
        return this.classes.reduce((sum, classQueue) => sum + classQueue.arrivals.size, 0);
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.classes.reduce((sum, classQueue) => sum + classQueue.size, 0);
    }

    /** Number of requests that can still meet their target or wait to resume. */
    get onTimeSize(): number {
        return this.classes.reduce((sum, classQueue) => sum + classQueue.onTimeSize, 0);
    }

    /** Predicted output tokens of the requests counted in {@link onTimeSize}. */
    get onTimeOutputTokens(): number {
        return this.classes.reduce((sum, classQueue) => sum + classQueue.onTimeOutputTokens, 0);
    }

    /** Queues of the classes of the tier. */
    get classQueues(): readonly ClassQueue[] {
        return this.classes;
    }

    /** Arrival time of the oldest request that has not started; undefined if there is none. */
    get oldestArrival(): Milliseconds | undefined {
        const times = this.classes.flatMap(classQueue => classQueue.arrivals.first?.request.arrivedAt ?? []);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    /** Returns a preempted request, else an on-time one, else a late one, of the class with the smallest counter. */
    next(now: Milliseconds): QueuedRequest | undefined {
        return this.leastServed(classQueue => classQueue.preempted.first)
            ?? this.leastServed(classQueue => classQueue.nextOnTime(now))
            ?? this.leastServed(classQueue => classQueue.late.first);
    }

    /** Advances the virtual time of the tier to the counter of a class that was served. */
    advanceVirtualTime(classQueue: ClassQueue): void {
        this.virtualTime = Math.max(this.virtualTime, classQueue.virtualTokens);
    }

    /** Raises the counter of an empty class to the virtual time, so that being idle gives it no priority. */
    raiseIdleCounter(classQueue: ClassQueue): void {
        if (classQueue.size === 0) {
            classQueue.virtualTokens = Math.max(classQueue.virtualTokens, this.virtualTime);
        }
    }

    /** Updates the position of a team in the order of shedding. */
    updateSheddingOrder(teamQueue: TeamQueue): void {
        const heapKey = -teamQueue.queuedTokens / teamQueue.weight;
        if (teamQueue.size === 0) {
            if (teamQueue.sheddingHeapMember !== undefined) {
                this.teamsByQueuedTokens.delete(teamQueue.sheddingHeapMember);
                teamQueue.sheddingHeapMember = undefined;
            }
        }
        else if (teamQueue.sheddingHeapMember === undefined) {
            teamQueue.sheddingHeapMember = this.teamsByQueuedTokens.insert(teamQueue, heapKey);
        }
        else {
            this.teamsByQueuedTokens.update(teamQueue.sheddingHeapMember, heapKey);
        }
    }

    /** Returns the newest request of the team with the most queued tokens relative to its weight. */
    newestOfLargestTeamQueue(): QueuedRequest | undefined {
        return this.teamsByQueuedTokens.first?.value.newest;
    }

    /** Returns the newest request that has not started, regardless of team. */
    newest(): QueuedRequest | undefined {
        let chosen: QueuedRequest | undefined;
        for (const classQueue of this.classes) {
            const candidate = classQueue.arrivals.last;
            if (candidate !== undefined && candidate.request.arrivedAt >= (chosen?.request.arrivedAt ?? -Infinity)) {
                chosen = candidate;
            }
        }
        return chosen;
    }

    private leastServed(
        candidateOf: (classQueue: ClassQueue) => QueuedRequest | undefined,
    ): QueuedRequest | undefined {
        let chosen: QueuedRequest | undefined;
        let smallestVirtualTokens = Infinity;
        for (const classQueue of this.classes) {
            const candidate = classQueue.virtualTokens < smallestVirtualTokens ? candidateOf(classQueue) : undefined;
            if (candidate !== undefined) {
                chosen = candidate;
                smallestVirtualTokens = classQueue.virtualTokens;
            }
        }
        return chosen;
    }
}
