import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import { lowestTier } from "../../version/manifest.js";
import type { QueuedRequest } from "./teamQueue.js";

/** A request that was taken and has not ended. */
export interface RunningRequest {
    readonly queued: QueuedRequest;
    /** Place among the preemptible requests; undefined when it may not be preempted or is being preempted. */
    node: ListNode<RunningRequest> | undefined;
}

/** The requests that run now, and which of them may be preempted. */
export class RunningRequests {
    private readonly byId = new Map<string, RunningRequest>();
    private readonly preemptible = Array.from({ length: lowestTier + 1 }, () => new LinkedList<RunningRequest>());
    private readonly counts = new Array<number>(lowestTier + 1).fill(0);
    private readonly interrupting = new Set<RunningRequest>();

    /** Number of running requests. */
    get size(): number {
        return this.byId.size;
    }

    /** Number of requests that were chosen for preemption and are not back yet. */
    get beingInterrupted(): number {
        return this.interrupting.size;
    }

    /**
     * Adds a request that was just taken.
     *
     * @param byFloor Whether the floor against starvation started it; such a request is never preempted, so that what
     * the floor gives is not taken away again.
     */
    add(queued: QueuedRequest, byFloor: boolean): void {
        const running: RunningRequest = { queued, node: undefined };
        this.byId.set(queued.request.id, running);
        this.count(queued, 1);
        if (queued.request.requestClass.preemptible && !byFloor) {
            running.node = this.preemptible[queued.request.requestClass.tier]?.append(running);
        }
    }

    /** Removes a request that ended or was preempted. */
    delete(id: string): RunningRequest | undefined {
        const running = this.byId.get(id);
        if (running !== undefined) {
            this.byId.delete(id);
            this.count(running.queued, -1);
            this.interrupting.delete(running);
            this.release(running);
        }
        return running;
    }

    /** Whether a request below a tier runs. */
    hasBelow(tier: number): boolean {
        return this.counts.some((count, lower) => lower > tier && count > 0);
    }

    /** Number of preemptible requests of a tier. */
    preemptibleOf(tier: number): number {
        return this.preemptible[tier]?.size ?? 0;
    }

    /** Whether a request of a tier below the given one may be preempted now. */
    hasPreemptibleBelow(tier: number): boolean {
        return this.findVictim(tier) !== undefined;
    }

    /** Chooses the request to interrupt for a tier: of the lowest tier, the one that started last. */
    chooseVictim(tier: number): QueuedRequest | undefined {
        const victim = this.findVictim(tier);
        if (victim !== undefined) {
            this.release(victim);
            this.interrupting.add(victim);
        }
        return victim?.queued;
    }

    private count(queued: QueuedRequest, change: number): void {
        const { tier } = queued.request.requestClass;
        this.counts[tier] = (this.counts[tier] ?? 0) + change;
    }

    private findVictim(tier: number): RunningRequest | undefined {
        for (let lower = lowestTier; lower > tier; lower -= 1) {
            const youngest = this.preemptible[lower]?.last;
            if (youngest !== undefined) {
                return youngest;
            }
        }
        return undefined;
    }

    private release(running: RunningRequest): void {
        if (running.node !== undefined) {
            this.preemptible[running.queued.request.requestClass.tier]?.delete(running.node);
            running.node = undefined;
        }
    }
}
