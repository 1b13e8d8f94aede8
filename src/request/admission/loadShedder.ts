import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { PoolCapacity } from "../admissionQueue.js";
import type { PoolSummaryBuilder } from "./poolSummaryBuilder.js";
import { sheddingDelay } from "./remoteLoad.js";
import type { RemoteLoad } from "./remoteLoad.js";
import type { RunningRequests } from "./runningRequests.js";
import type { ServiceFloor } from "./serviceFloor.js";
import type { SheddingPolicy } from "./sheddingPolicy.js";
import type { QueuedRequest } from "./teamQueue.js";
import { capacityForTier } from "./tierCapacity.js";
import type { TierQueues } from "./tierQueues.js";

/**
 * Maximum number of requests whose shedding is deferred until other entries free capacity, as a fraction of the maximum
 * queue length.
 */
const maximumDeferredFraction = 0.1;

/**
 * Maximum number of requests whose shedding is deferred until other entries free capacity; bounded because every sweep
 * evaluates them again.
 */
const maximumDeferred = 256;

/** A waiting request to refuse because of load, with the result code. */
export interface ShedDecision {
    readonly queued: QueuedRequest;
    readonly code: "targetUnreachable" | "shedUnderLoad";
}

/** Dependencies of {@link LoadShedder}. */
export interface LoadShedderDependencies {
    readonly tierQueues: TierQueues;
    readonly running: RunningRequests;
    readonly serviceFloor: ServiceFloor;
    readonly summaryBuilder: PoolSummaryBuilder;
    readonly remoteLoad: RemoteLoad;
    readonly sheddingPolicy: SheddingPolicy;
    /** Maximum number of waiting requests that have not started. */
    readonly maximumLength: number;
}

/**
 * Selects the requests to refuse when the pool cannot serve all of them.
 *
 * If the queue exceeds its maximum length, a request of the lowest sheddable tier is refused. A request whose expected
 * wait behind its own and higher tiers exceeds the admissible wait is refused at once. In both cases, shedding is
 * deferred while lower-tier work can still be preempted, at this entry or at others: the request then stays in the
 * queue despite the limits.
 */
export class LoadShedder {
    private readonly deferred = new Map<QueuedRequest, Milliseconds>();
    private readonly deferredCounts = new Array<number>(lowestTier + 1).fill(0);

    /** @param dependencies The state that the decisions are based on. */
    constructor(private readonly dependencies: LoadShedderDependencies) {}

    /** Number of requests whose shedding is deferred. */
    get deferredCount(): number {
        return this.deferred.size;
    }

    /** Number of requests of a tier whose shedding is deferred. */
    deferredCountOf(tier: number): number {
        return this.deferredCounts[tier] ?? 0;
    }

    /** Whether the arrivals of a tier and those above it can be served, including capacity that other entries free. */
    canServeArrivals(tier: number, capacity: PoolCapacity, now: Milliseconds): boolean {
        return this.dependencies.tierQueues.canServeArrivals(tier, this.capacityFor(tier, capacity, now), now);
    }

    /** Evaluates a request that was just added; returns undefined if no request has to be refused because of it. */
    decide(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): ShedDecision | undefined {
        if (!this.requiresShedding(queued, capacity, now)) {
            return undefined;
        }
        if (this.mayDefer(this.sheddingTierFor(queued), now)) {
            this.defer(queued, now + sheddingDelay);
            this.dependencies.summaryBuilder.recordUnserved(queued.teamQueue.classQueue.tier);
            return undefined;
        }
        return this.selectVictim(queued);
    }

    /**
     * Evaluates the deferred requests again; yields a decision for each whose deferral has ended without free capacity.
     *
     * The caller must apply each decision before it requests the next one.
     */
    *decideDeferred(capacity: PoolCapacity, now: Milliseconds): Generator<ShedDecision> {
        for (const [queued, until] of this.deferred) {
            if (!this.requiresShedding(queued, capacity, now)) {
                this.cancelDeferral(queued);
                continue;
            }
            const sheddingTier = this.sheddingTierFor(queued);
            const awaitsRemoteCapacity = until > now
                && this.dependencies.remoteLoad.hasLowerTierWork(sheddingTier, now);
            if (awaitsRemoteCapacity || this.dependencies.running.hasPreemptibleBelow(sheddingTier)) {
                continue;
            }
            this.cancelDeferral(queued);
            const decision = this.selectVictim(queued);
            if (decision !== undefined) {
                yield decision;
            }
        }
    }

    /** Ends the deferral of a request, if any. */
    cancelDeferral(queued: QueuedRequest): void {
        if (this.deferred.delete(queued)) {
            this.adjustDeferredCount(queued, -1);
        }
    }

    private get exceedsMaximumLength(): boolean {
        return this.dependencies.tierQueues.sheddableCount > this.dependencies.maximumLength;
    }

    private requiresShedding(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): boolean {
        return this.exceedsMaximumLength || this.exceedsAdmissibleWait(queued, capacity, now);
    }

    private exceedsAdmissibleWait(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): boolean {
        const { tierQueues, serviceFloor } = this.dependencies;
        const { requestClass } = queued.request;
        const { classQueue } = queued.teamQueue;
        if (serviceFloor.wouldServeNext(classQueue, queued.predictedTokens, now)) {
            return false;
        }
        const tierCapacity = this.capacityFor(classQueue.tier, capacity, now);
        const waitByTarget = tierQueues.canServeArrivals(classQueue.tier, tierCapacity, now)
            ? classQueue.serviceTimes.admissibleWait(requestClass)
            : classQueue.serviceTimes.overloadWait(requestClass);
        const maximumWait = requestClass.maximumQueueMilliseconds ?? waitByTarget;
        return tierQueues.expectedWait(queued, tierCapacity, now) > maximumWait;
    }

    private capacityFor(tier: number, capacity: PoolCapacity, now: Milliseconds): PoolCapacity {
        const { remoteLoad, tierQueues } = this.dependencies;
        return capacityForTier(capacity, remoteLoad, tier, tierQueues.tierQueueOf(tier).size, now);
    }

    /** Tier from which a request is shed: the lowest sheddable one if the queue is too long, else that of `cause`. */
    private sheddingTierFor(cause: QueuedRequest): number {
        const ownTier = cause.teamQueue.classQueue.tier;
        return this.exceedsMaximumLength ? this.dependencies.tierQueues.lowestSheddable() ?? ownTier : ownTier;
    }

    /** Whether shedding may be deferred until work below a tier is preempted, at this entry or at others. */
    private mayDefer(tier: number, now: Milliseconds): boolean {
        const { running, summaryBuilder, remoteLoad, maximumLength } = this.dependencies;
        if (running.hasPreemptibleBelow(tier) && this.deferred.size < summaryBuilder.preemptibleBelow(tier)) {
            return true;
        }
        const limit = Math.min(maximumDeferred, maximumLength * maximumDeferredFraction);
        return this.deferred.size < limit && remoteLoad.hasLowerTierWork(tier, now);
    }

    private selectVictim(cause: QueuedRequest): ShedDecision | undefined {
        this.dependencies.summaryBuilder.recordUnserved(cause.teamQueue.classQueue.tier);
        if (!this.exceedsMaximumLength) {
            return { queued: cause, code: "targetUnreachable" };
        }
        const victim = this.dependencies.sheddingPolicy.selectVictim(
            this.dependencies.tierQueues.tierQueueOf(this.sheddingTierFor(cause)),
        );
        if (victim === undefined) {
            return undefined;
        }
        this.transferDeferral(victim, cause);
        return { queued: victim, code: "shedUnderLoad" };
    }

    /** Transfers the deferral of a shed request, and the capacity being freed for it, to the one that displaced it. */
    private transferDeferral(victim: QueuedRequest, cause: QueuedRequest): void {
        const until = this.deferred.get(victim);
        if (until !== undefined && victim !== cause) {
            this.defer(cause, until);
        }
    }

    private defer(queued: QueuedRequest, until: Milliseconds): void {
        if (!this.deferred.has(queued)) {
            this.adjustDeferredCount(queued, 1);
        }
        this.deferred.set(queued, until);
    }

    private adjustDeferredCount(queued: QueuedRequest, change: number): void {
        const { tier } = queued.teamQueue.classQueue;
        this.deferredCounts[tier] = (this.deferredCounts[tier] ?? 0) + change;
    }
}
