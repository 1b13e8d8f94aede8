import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import { lowestTier } from "../../version/manifest.js";
import type { QueuedRequest } from "./teamQueue.js";

/** A request that was started and has not ended. */
export interface RunningRequest {
    readonly queued: QueuedRequest;
    /** Node in the list of preemptible requests; undefined if it may not be preempted or is being preempted. */
    node: ListNode<RunningRequest> | undefined;
}

/** The running requests, with the preemptible ones listed by tier in order of start. */
export class RunningRequests {
    private readonly byId = new Map<string, RunningRequest>();
    private readonly preemptible = Array.from({ length: lowestTier + 1 }, () => new LinkedList<RunningRequest>());
    private readonly countsByTier = new Array<number>(lowestTier + 1).fill(0);
    private readonly preempting = new Set<RunningRequest>();

    /** Number of running requests. */
    get size(): number {
        return this.byId.size;
    }

    /** Number of requests selected for preemption that have not ended or been requeued yet. */
    get preemptingCount(): number {
        return this.preempting.size;
    }

    /**
     * Adds a request that has just started.
     *
     * @param startedByFloor Whether the service floor started it; such a request is not preempted, so that its class
     * keeps the guaranteed service.
     */
    add(queued: QueuedRequest, startedByFloor: boolean): void {
        const running: RunningRequest = { queued, node: undefined };
        this.byId.set(queued.request.id, running);
        this.adjustCount(queued, 1);
        if (queued.request.requestClass.preemptible && !startedByFloor) {
            running.node = this.preemptible[queued.request.requestClass.tier]?.append(running);
        }
    }

    /** Removes a request that ended or was preempted. */
    delete(id: string): RunningRequest | undefined {
        const running = this.byId.get(id);
        if (running !== undefined) {
            this.byId.delete(id);
            this.adjustCount(running.queued, -1);
            this.preempting.delete(running);
            this.removePreemptible(running);
        }
        return running;
    }

    /** Whether a request of a tier below the given one runs. */
    hasLowerTier(tier: number): boolean {
        return this.countsByTier.some((count, lower) => lower > tier && count > 0);
    }

    /** Number of running requests of a tier that may be preempted. */
    preemptibleCountOf(tier: number): number {
        return this.preemptible[tier]?.size ?? 0;
    }

    /** Whether a request of a tier below the given one may be preempted now. */
    hasPreemptibleBelow(tier: number): boolean {
        return this.findVictim(tier) !== undefined;
    }

    /** Selects and marks the request to preempt for a tier: the most recently started one of the lowest tier. */
    selectVictim(tier: number): QueuedRequest | undefined {
        const victim = this.findVictim(tier);
        if (victim !== undefined) {
            this.removePreemptible(victim);
            this.preempting.add(victim);
        }
        return victim?.queued;
    }

    private adjustCount(queued: QueuedRequest, change: number): void {
        const { tier } = queued.request.requestClass;
        this.countsByTier[tier] = (this.countsByTier[tier] ?? 0) + change;
    }

    private findVictim(tier: number): RunningRequest | undefined {
        for (let lowerTier = lowestTier; lowerTier > tier; lowerTier -= 1) {
            const newest = this.preemptible[lowerTier]?.last;
            if (newest !== undefined) {
                return newest;
            }
        }
        return undefined;
    }

    private removePreemptible(running: RunningRequest): void {
        if (running.node !== undefined) {
            this.preemptible[running.queued.request.requestClass.tier]?.delete(running.node);
            running.node = undefined;
        }
    }
}
