import type { Milliseconds } from "../../util/clock.js";
import { LinkedList } from "../../util/linkedList.js";
import type { ListNode } from "../../util/linkedList.js";
import { lowestTier } from "../../version/manifest.js";
import type { QueuedRequest } from "./teamShare.js";

/** A request that was started by the floor is not preempted for this long, in milliseconds. */
export const floorProtection: Milliseconds = 5_000;

/** A request that was taken and has not ended. */
export interface RunningRequest {
    readonly queued: QueuedRequest;
    /** Until when it may not be preempted. */
    readonly protectedUntil: Milliseconds;
    /** Place among the preemptible requests; undefined when it may not be preempted or is being preempted. */
    node: ListNode<RunningRequest> | undefined;
}

/** The requests that run now, and which of them may be preempted. */
export class RunningRequests {
    private readonly byId = new Map<string, RunningRequest>();
    private readonly preemptible = Array.from({ length: lowestTier + 1 }, () => new LinkedList<RunningRequest>());
    private readonly interrupting = new Set<RunningRequest>();

    /** Number of running requests. */
    get size(): number {
        return this.byId.size;
    }

    /** Number of requests that were chosen for preemption and are not back yet. */
    get beingInterrupted(): number {
        return this.interrupting.size;
    }

    /** Adds a request that was just taken. */
    add(queued: QueuedRequest, protectedUntil: Milliseconds): void {
        const running: RunningRequest = { queued, protectedUntil, node: undefined };
        this.byId.set(queued.request.id, running);
        if (queued.request.requestClass.preemptible) {
            running.node = this.preemptible[queued.request.requestClass.tier]?.append(running);
        }
    }

    /** Removes a request that ended or was preempted. */
    delete(id: string): RunningRequest | undefined {
        const running = this.byId.get(id);
        if (running !== undefined) {
            this.byId.delete(id);
            this.interrupting.delete(running);
            this.release(running);
        }
        return running;
    }

    /** Number of preemptible requests of a tier, protected ones among them. */
    preemptibleOf(tier: number): number {
        return this.preemptible[tier]?.size ?? 0;
    }

    /** Whether a request of a tier below the given one may be preempted now. */
    hasPreemptibleBelow(tier: number, now: Milliseconds): boolean {
        return this.findVictim(tier, now) !== undefined;
    }

    /** Chooses the request to interrupt for a tier: of the lowest tier, the one that started last. */
    chooseVictim(tier: number, now: Milliseconds): QueuedRequest | undefined {
        const victim = this.findVictim(tier, now);
        if (victim !== undefined) {
            this.release(victim);
            this.interrupting.add(victim);
        }
        return victim?.queued;
    }

    private findVictim(tier: number, now: Milliseconds): RunningRequest | undefined {
        for (let lower = lowestTier; lower > tier; lower -= 1) {
            for (const running of this.preemptible[lower]?.reversed() ?? []) {
                if (running.protectedUntil <= now) {
                    return running;
                }
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
