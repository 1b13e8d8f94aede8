import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import { AdmissionQueue } from "../admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal, RequestUsage } from "../admissionQueue.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { ClassQueue } from "./classQueue.js";
import { KeyIndex } from "./keyIndex.js";
import { LoadShedder } from "./loadShedder.js";
import { QuantileOutputPredictor } from "./outputPredictor.js";
import type { OutputPredictor } from "./outputPredictor.js";
import type { PoolSummary } from "./poolSummary.js";
import { PoolSummaryBuilder } from "./poolSummaryBuilder.js";
import { PreemptionSelector } from "./preemptionSelector.js";
import { NoRemoteLoad } from "./remoteLoad.js";
import type { RemoteLoad } from "./remoteLoad.js";
import { RetryAfterScheduler } from "./retryAfterScheduler.js";
import { RunningRequests } from "./runningRequests.js";
import { ServiceFloor } from "./serviceFloor.js";
import { LongestQueueDropPolicy } from "./sheddingPolicy.js";
import type { SheddingPolicy } from "./sheddingPolicy.js";
import type { QueuedRequest } from "./teamQueue.js";
import { ListedTeamWeights } from "./teamWeights.js";
import type { TeamWeights } from "./teamWeights.js";
import { TierQueues } from "./tierQueues.js";
import { maximumWaitOf } from "./waitLimits.js";

/** Default maximum number of waiting requests of a {@link TieredQueue}. */
export const defaultTieredQueueLength = 2_000;

/** Maximum number of reserved slots, as a fraction of the number of running requests. */
const maximumReservedFraction = 0.1;

/** Fraction of the admissible wait after which a request is urgent. */
const urgentWaitFraction = 0.1;

/** Options of {@link TieredQueue}; each has a default. */
export interface TieredQueueOptions {
    /** Maximum number of waiting requests that have not started. */
    readonly maximumLength?: number;
    readonly weights?: TeamWeights;
    readonly predictor?: OutputPredictor;
    readonly remoteLoad?: RemoteLoad;
    readonly sheddingPolicy?: SheddingPolicy;
}

/**
 * Admission queue of a pool: tiers determine which requests are served first and which are shed or preempted; weights
 * and targets determine the order within a tier.
 *
 * docs/decisions/admission.md describes the rules and the alternatives that were considered.
 */
export class TieredQueue extends AdmissionQueue {
    private readonly tierQueues: TierQueues;
    private readonly predictor: OutputPredictor;
    private readonly remoteLoad: RemoteLoad;
    private readonly waiting = new Map<string, QueuedRequest>();
    private readonly keyIndex = new KeyIndex();
    private readonly running = new RunningRequests();
    private readonly serviceFloor = new ServiceFloor();
    private readonly retryAfterScheduler = new RetryAfterScheduler();
    private readonly summaryBuilder: PoolSummaryBuilder;
    private readonly loadShedder: LoadShedder;
    private readonly preemptionSelector: PreemptionSelector;

    /** @param options Options that override the defaults. */
    constructor(options: TieredQueueOptions = {}) {
        super();
        this.tierQueues = new TierQueues(options.weights ?? new ListedTeamWeights());
        this.predictor = options.predictor ?? new QuantileOutputPredictor();
        this.remoteLoad = options.remoteLoad ?? new NoRemoteLoad();
        this.summaryBuilder = new PoolSummaryBuilder(this.tierQueues, this.running);
        const { tierQueues, running, serviceFloor, summaryBuilder, remoteLoad } = this;
        const sheddingPolicy = options.sheddingPolicy ?? new LongestQueueDropPolicy();
        const maximumLength = options.maximumLength ?? defaultTieredQueueLength;
        this.loadShedder = new LoadShedder({
            tierQueues,
            running,
            serviceFloor,
            summaryBuilder,
            remoteLoad,
            sheddingPolicy,
            maximumLength,
        });
        this.preemptionSelector = new PreemptionSelector({
            tierQueues,
            running,
            loadShedder: this.loadShedder,
            summaryBuilder,
            remoteLoad,
        });
    }

    override get length(): number {
        return this.waiting.size;
    }

    /** Number of classes with stored state. */
    get classCount(): number {
        return [...this.tierQueues.allClasses].length;
    }

    /** Number of waiting requests whose shedding is deferred until lower-tier work is preempted. */
    get deferredCount(): number {
        return this.loadShedder.deferredCount;
    }

    override offer(request: PendingRequest, capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const queued = this.enqueue(request, now);
        const decision = this.loadShedder.decide(queued, capacity, now);
        return decision === undefined ? [] : [this.refuse(decision.queued, decision.code, now)];
    }

    override take(capacity: PoolCapacity, now: Milliseconds): PendingRequest | undefined {
        const nextByTier = this.tierQueues.next(this.remoteLoad.overloadedTier(now) ?? lowestTier, now);
        if (capacity.freeSlots <= 0) {
            return this.takeUrgent(nextByTier, capacity, now);
        }
        const floorClass = this.serviceFloor.nextClass(
            now,
            classQueue => nextOfClass(classQueue, now)?.predictedTokens ?? Infinity,
        );
        const nextByFloor = floorClass === undefined ? undefined : nextOfClass(floorClass, now);
        const queued = nextByFloor ?? nextByTier;
        if (queued === undefined || (nextByFloor === undefined && this.slotsAreReserved(queued, capacity, now))) {
            return undefined;
        }
        const nextTier = nextByTier?.request.requestClass.tier ?? lowestTier + 1;
        this.start(queued, queued.request.requestClass.tier > nextTier || nextByTier === undefined, now);
        return queued.request;
    }

    override remove(request: PendingRequest): boolean {
        const queued = this.waiting.get(request.id);
        if (queued === undefined) {
            return false;
        }
        this.removeFromQueue(queued);
        if (queued.preempted) {
            queued.teamQueue.activeRequests -= 1;
        }
        queued.teamQueue.classQueue.markIdle(queued.teamQueue);
        return true;
    }

    override sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const classQueue of this.tierQueues.allClasses) {
            this.refuseExpired(classQueue, now, refusals);
            classQueue.markLateRequests(now);
            classQueue.removeIdleTeams();
        }
        for (const replaced of this.tierQueues.removeReplacedClasses()) {
            this.serviceFloor.remove(replaced);
        }
        for (const { queued, code } of this.loadShedder.decideDeferred(capacity, now)) {
            refusals.push(this.refuse(queued, code, now));
        }
        return refusals;
    }

    override complete(request: PendingRequest, usage: RequestUsage): void {
        const queued = this.running.delete(request.id)?.queued;
        if (queued === undefined) {
            return;
        }
        this.predictor.observe(request, usage.outputTokens);
        const classQueue = queued.teamQueue.classQueue;
        classQueue.serviceTimes.observe(usage.serviceTime);
        classQueue.adjustCounters(queued.teamQueue, usage.promptTokens + usage.outputTokens - queued.predictedTokens);
        this.finish(queued);
    }

    override abandon(request: PendingRequest): void {
        const queued = this.running.delete(request.id)?.queued;
        if (queued !== undefined) {
            queued.teamQueue.classQueue.adjustCounters(queued.teamQueue, -queued.predictedTokens);
            this.finish(queued);
        }
    }

    override requeue(request: PendingRequest, now: Milliseconds): void {
        const original = this.running.delete(request.id)?.queued;
        if (original === undefined) {
            return;
        }
        const queued: QueuedRequest = { ...original, request, preempted: true };
        const classQueue = queued.teamQueue.classQueue;
        this.tierQueues.tierQueueOf(classQueue.tier).raiseIdleCounter(classQueue);
        classQueue.appendPreempted(queued);
        this.addToIndexes(queued, now);
    }

    override withdrawKey(team: string, keyName: string): readonly Refusal[] {
        return this.keyIndex.requestsOf(team, keyName).map(queued => {
            this.remove(queued.request);
            const code = queued.preempted ? "keyWithdrawnWhileRunning" : "keyWithdrawn";
            return { request: queued.request, code, retryAfter: 0 };
        });
    }

    override choosePreemptions(capacity: PoolCapacity, now: Milliseconds): readonly Preemption[] {
        return this.preemptionSelector.select(capacity, now);
    }

    /** Returns the summary for the other entries and resets its counts; call it once per message. */
    override summarize(pool: string, capacity: PoolCapacity, now: Milliseconds): PoolSummary {
        return this.summaryBuilder.summarize(pool, capacity, now);
    }

    /** Whether the free slots are reserved for requests of higher tiers that are about to arrive and cannot wait. */
    private slotsAreReserved(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): boolean {
        const reserved = this.tierQueues.reservedSlots(queued.teamQueue.classQueue.tier, now);
        return capacity.freeSlots <= Math.min(reserved, Math.ceil(this.running.size * maximumReservedFraction));
    }

    /** Starts an urgent request although no slot is free; the endpoint runs it before requests of lower tiers. */
    private takeUrgent(
        next: QueuedRequest | undefined,
        capacity: PoolCapacity,
        now: Milliseconds,
    ): PendingRequest | undefined {
        if (next === undefined || (capacity.urgentSlots ?? 0) <= 0) {
            return undefined;
        }
        const { request, teamQueue } = next;
        const urgentAfter = teamQueue.classQueue.serviceTimes.admissibleWait(request.requestClass) * urgentWaitFraction;
        const { tier } = request.requestClass;
        const lowerTierRuns = this.running.hasLowerTier(tier) || this.remoteLoad.hasLowerTierWork(tier, now);
        if (
            now - request.arrivedAt < urgentAfter || !lowerTierRuns
            || !this.loadShedder.canServeArrivals(tier, capacity, now)
        ) {
            return undefined;
        }
        this.start(next, false, now);
        return request;
    }

    private enqueue(request: PendingRequest, now: Milliseconds): QueuedRequest {
        const classQueue = this.tierQueues.classQueueOf(request.requestClass);
        const predictedOutputTokens = this.predictor.predictTokens(request);
        const queued: QueuedRequest = {
            request,
            teamQueue: classQueue.teamQueueOf(request),
            predictedTokens: Math.max(1, request.promptTokens + predictedOutputTokens),
            predictedOutputTokens,
            preempted: false,
            arrivalNode: undefined,
            teamNode: undefined,
            lateNode: undefined,
        };
        this.tierQueues.tierQueueOf(classQueue.tier).raiseIdleCounter(classQueue);
        classQueue.append(queued);
        this.tierQueues.recordArrival(queued, now);
        this.addToIndexes(queued, now);
        return queued;
    }

    private addToIndexes(queued: QueuedRequest, now: Milliseconds): void {
        this.waiting.set(queued.request.id, queued);
        this.keyIndex.add(queued);
        this.serviceFloor.trackWaiting(queued.teamQueue.classQueue, now);
        this.tierQueues.tierQueueOf(queued.teamQueue.classQueue.tier).updateSheddingOrder(queued.teamQueue);
    }

    private removeFromQueue(queued: QueuedRequest): void {
        const classQueue = queued.teamQueue.classQueue;
        classQueue.delete(queued);
        this.waiting.delete(queued.request.id);
        this.loadShedder.cancelDeferral(queued);
        this.keyIndex.delete(queued);
        this.tierQueues.tierQueueOf(classQueue.tier).updateSheddingOrder(queued.teamQueue);
    }

    private start(queued: QueuedRequest, startedByFloor: boolean, now: Milliseconds): void {
        const classQueue = queued.teamQueue.classQueue;
        this.removeFromQueue(queued);
        if (!queued.preempted) {
            classQueue.charge(queued);
            queued.teamQueue.startedTokenRate.add(queued.predictedOutputTokens, now);
            queued.teamQueue.activeRequests += 1;
            this.tierQueues.tierQueueOf(classQueue.tier).advanceVirtualTime(classQueue);
        }
        this.serviceFloor.recordServed(classQueue, queued.predictedTokens, now);
        this.retryAfterScheduler.recordStarted(classQueue.tier, now);
        this.running.add(queued, startedByFloor);
        if (!startedByFloor) {
            this.summaryBuilder.recordStarted(classQueue.tier, queued.predictedOutputTokens);
        }
    }

    private finish(queued: QueuedRequest): void {
        queued.teamQueue.activeRequests -= 1;
        queued.teamQueue.classQueue.markIdle(queued.teamQueue);
    }

    private refuseExpired(classQueue: ClassQueue, now: Milliseconds, refusals: Refusal[]): void {
        for (const queued of classQueue.arrivals) {
            if (now - queued.request.arrivedAt < maximumWaitOf(queued.request.requestClass)) {
                return;
            }
            refusals.push(this.refuse(queued, "waitTooLong", now));
        }
    }

    private refuse(queued: QueuedRequest, code: ResultCode, now: Milliseconds): Refusal {
        this.remove(queued.request);
        const { tier } = queued.request.requestClass;
        const retryAfter = this.retryAfterScheduler.schedule(tier, this.tierQueues.tierQueueOf(tier).size, now);
        return { request: queued.request, code, retryAfter };
    }
}

function nextOfClass(classQueue: ClassQueue, now: Milliseconds): QueuedRequest | undefined {
    return classQueue.preempted.first ?? classQueue.nextOnTime(now) ?? classQueue.late.first;
}
