import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import { AdmissionQueue } from "../admissionQueue.js";
import type { PoolCapacity, Preemption, Refusal, RequestUsage } from "../admissionQueue.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { ClassQueue } from "./classQueue.js";
import { KeyIndex } from "./keyIndex.js";
import { LoadGuard } from "./loadShedder.js";
import { QuantileOutputPredictor } from "./outputPredictor.js";
import type { OutputPredictor } from "./outputPredictor.js";
import type { PoolSummary } from "./poolSummary.js";
import { PressureGauge } from "./poolSummaryBuilder.js";
import { PreemptionChoice } from "./preemptionSelector.js";
import { NoNeighbours } from "./remoteLoad.js";
import type { NeighbourPressure } from "./remoteLoad.js";
import { RetryAppointments } from "./retryAfterScheduler.js";
import { RunningRequests } from "./runningRequests.js";
import { ServiceFloor } from "./serviceFloor.js";
import { HeaviestTeamVictim } from "./sheddingPolicy.js";
import type { VictimChoice } from "./sheddingPolicy.js";
import type { QueuedRequest } from "./teamQueue.js";
import { ListedTeamWeights } from "./teamWeights.js";
import type { TeamWeights } from "./teamWeights.js";
import { TierTable } from "./tierQueues.js";
import { maximumWaitOf } from "./waitLimits.js";

/** Waiting requests that a {@link TieredQueue} holds, unless told otherwise. */
export const defaultTieredLength = 2_000;

/** Largest part of the running requests that is kept free for requests about to arrive. */
const largestReservedPart = 0.1;

/** Share of the admissible wait after which a request is urgent. */
const urgentShare = 0.1;

/** The parts of a {@link TieredQueue} that vary; each has a default. */
export interface TieredQueueOptions {
    /** Waiting requests that it holds. */
    readonly maximumLength?: number;
    readonly weights?: TeamWeights;
    readonly predictor?: OutputPredictor;
    readonly remoteLoad?: NeighbourPressure;
    readonly sheddingPolicy?: VictimChoice;
}

/**
 * The admission queue of a pool: tiers decide who is shed or preempted, weights and deadlines decide the order.
 *
 * docs/decisions/admission.md explains the rules and what was weighed.
 */
export class TieredQueue extends AdmissionQueue {
    private readonly table: TierTable;
    private readonly predictor: OutputPredictor;
    private readonly neighbours: NeighbourPressure;
    private readonly waiting = new Map<string, QueuedRequest>();
    private readonly keys = new KeyIndex();
    private readonly running = new RunningRequests();
    private readonly floor = new ServiceFloor();
    private readonly appointments = new RetryAppointments();
    private readonly gauge: PressureGauge;
    private readonly guard: LoadGuard;
    private readonly preemption: PreemptionChoice;

    /** @param options Parts that replace the defaults. */
    constructor(options: TieredQueueOptions = {}) {
        super();
        this.table = new TierTable(options.weights ?? new ListedTeamWeights());
        this.predictor = options.predictor ?? new QuantileOutputPredictor();
        this.neighbours = options.remoteLoad ?? new NoNeighbours();
        this.gauge = new PressureGauge(this.table, this.running);
        const { table, running, floor, gauge, neighbours } = this;
        const victimChoice = options.sheddingPolicy ?? new HeaviestTeamVictim();
        const maximumLength = options.maximumLength ?? defaultTieredLength;
        this.guard = new LoadGuard({ table, running, floor, gauge, neighbours, victimChoice, maximumLength });
        this.preemption = new PreemptionChoice({ table, running, guard: this.guard, gauge, neighbours });
    }

    override get length(): number {
        return this.waiting.size;
    }

    /** Number of classes that are remembered. */
    get classCount(): number {
        return [...this.table.allClasses].length;
    }

    /** Number of waiting requests that would have been shed if no room could be made below them. */
    get heldLength(): number {
        return this.guard.heldLength;
    }

    override offer(request: PendingRequest, capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const queued = this.enqueue(request, now);
        const decision = this.guard.judge(queued, capacity, now);
        return decision === undefined ? [] : [this.refuse(decision.queued, decision.code, now)];
    }

    override take(capacity: PoolCapacity, now: Milliseconds): PendingRequest | undefined {
        const strict = this.table.next(this.neighbours.pressedTier(now) ?? lowestTier, now);
        if (capacity.freeSlots <= 0) {
            return this.takeUrgent(strict, capacity, now);
        }
        const due = this.floor.due(now, waiting => nextOfClass(waiting, now)?.cost ?? Infinity);
        const byFloor = due === undefined ? undefined : nextOfClass(due, now);
        const queued = byFloor ?? strict;
        if (queued === undefined || (byFloor === undefined && this.isReserved(queued, capacity, now))) {
            return undefined;
        }
        const strictTier = strict?.request.requestClass.tier ?? lowestTier + 1;
        this.start(queued, queued.request.requestClass.tier > strictTier || strict === undefined, now);
        return queued.request;
    }

    override remove(request: PendingRequest): boolean {
        const queued = this.waiting.get(request.id);
        if (queued === undefined) {
            return false;
        }
        this.detach(queued);
        if (queued.resumed) {
            queued.share.unfinished -= 1;
        }
        queued.share.owner.noteIdle(queued.share);
        return true;
    }

    override sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const each of this.table.allClasses) {
            this.refuseExpired(each, now, refusals);
            each.setAsideLate(now);
            each.forgetIdleTeams();
        }
        for (const replaced of this.table.removeReplaced()) {
            this.floor.forget(replaced);
        }
        for (const { queued, code } of this.guard.judgeHeld(capacity, now)) {
            refusals.push(this.refuse(queued, code, now));
        }
        return refusals;
    }

    override complete(request: PendingRequest, use: RequestUsage): void {
        const queued = this.running.delete(request.id)?.queued;
        if (queued === undefined) {
            return;
        }
        this.predictor.observe(request, use.outputTokens);
        const owner = queued.share.owner;
        owner.serviceTimes.learn(use.serviceTime);
        owner.correct(queued.share, use.promptTokens + use.outputTokens - queued.cost);
        this.finish(queued);
    }

    override abandon(request: PendingRequest): void {
        const queued = this.running.delete(request.id)?.queued;
        if (queued !== undefined) {
            queued.share.owner.correct(queued.share, -queued.cost);
            this.finish(queued);
        }
    }

    override requeue(request: PendingRequest, now: Milliseconds): void {
        const before = this.running.delete(request.id)?.queued;
        if (before === undefined) {
            return;
        }
        const queued: QueuedRequest = { ...before, resumed: true };
        const owner = queued.share.owner;
        this.table.tierOf(owner.tier).noteReturn(owner);
        owner.appendResumed(queued);
        this.attach(queued, now);
    }

    override withdrawKey(team: string, keyName: string): readonly Refusal[] {
        return this.keys.of(team, keyName).map(queued => {
            this.remove(queued.request);
            const code = queued.resumed ? "keyWithdrawnWhileRunning" : "keyWithdrawn";
            return { request: queued.request, code, retryAfter: 0 };
        });
    }

    override choosePreemptions(capacity: PoolCapacity, now: Milliseconds): readonly Preemption[] {
        return this.preemption.choose(capacity, now);
    }

    /** What other entries should know of this one; call it once for each message. */
    override summarize(pool: string, capacity: PoolCapacity, now: Milliseconds): PoolSummary {
        return this.gauge.summarize(pool, capacity, now);
    }

    /** Whether the free slots are kept for more important requests that are about to arrive and cannot wait. */
    private isReserved(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): boolean {
        const reserved = this.table.reservedSlots(queued.share.owner.tier, now);
        return capacity.freeSlots <= Math.min(reserved, Math.ceil(this.running.size * largestReservedPart));
    }

    /** Takes a request that an endpoint should run before what it has of lower tiers, though it has no slot free. */
    private takeUrgent(
        next: QueuedRequest | undefined,
        capacity: PoolCapacity,
        now: Milliseconds,
    ): PendingRequest | undefined {
        if (next === undefined || (capacity.urgentSlots ?? 0) <= 0) {
            return undefined;
        }
        const { request, share } = next;
        const patience = share.owner.serviceTimes.admissibleWait(request.requestClass) * urgentShare;
        const { tier } = request.requestClass;
        const lowerRuns = this.running.hasBelow(tier) || this.neighbours.lowerTierElsewhere(tier, now);
        if (now - request.arrivedAt < patience || !lowerRuns || !this.guard.fits(tier, capacity, now)) {
            return undefined;
        }
        this.start(next, false, now);
        return request;
    }

    private enqueue(request: PendingRequest, now: Milliseconds): QueuedRequest {
        const owner = this.table.classOf(request.requestClass);
        const output = this.predictor.predictTokens(request);
        const queued: QueuedRequest = {
            request,
            share: owner.shareOf(request),
            cost: Math.max(1, request.promptTokens + output),
            output,
            resumed: false,
            arrivalNode: undefined,
            teamNode: undefined,
            lateNode: undefined,
        };
        this.table.tierOf(owner.tier).noteReturn(owner);
        owner.append(queued);
        this.table.noteArrival(queued, now);
        this.attach(queued, now);
        return queued;
    }

    private attach(queued: QueuedRequest, now: Milliseconds): void {
        this.waiting.set(queued.request.id, queued);
        this.keys.add(queued);
        this.floor.noteWaiting(queued.share.owner, now);
        this.table.tierOf(queued.share.owner.tier).updateVictim(queued.share);
    }

    private detach(queued: QueuedRequest): void {
        const owner = queued.share.owner;
        owner.delete(queued);
        this.waiting.delete(queued.request.id);
        this.guard.forget(queued);
        this.keys.delete(queued);
        this.table.tierOf(owner.tier).updateVictim(queued.share);
    }

    private start(queued: QueuedRequest, byFloor: boolean, now: Milliseconds): void {
        const owner = queued.share.owner;
        this.detach(queued);
        if (!queued.resumed) {
            owner.charge(queued);
            queued.share.served.add(queued.output, now);
            queued.share.unfinished += 1;
            this.table.tierOf(owner.tier).noteServed(owner);
        }
        this.floor.noteServed(owner, queued.cost, now);
        this.appointments.noteStarted(owner.tier, now);
        this.running.add(queued, byFloor);
        if (!byFloor) {
            this.gauge.noteStarted(owner.tier, queued.output);
        }
    }

    private finish(queued: QueuedRequest): void {
        queued.share.unfinished -= 1;
        queued.share.owner.noteIdle(queued.share);
    }

    private refuseExpired(each: ClassQueue, now: Milliseconds, refusals: Refusal[]): void {
        for (const queued of each.arrivals) {
            if (now - queued.request.arrivedAt < maximumWaitOf(queued.request.requestClass)) {
                return;
            }
            refusals.push(this.refuse(queued, "waitTooLong", now));
        }
    }

    private refuse(queued: QueuedRequest, code: ResultCode, now: Milliseconds): Refusal {
        this.remove(queued.request);
        const { tier } = queued.request.requestClass;
        const retryAfter = this.appointments.book(tier, this.table.tierOf(tier).size, now);
        return { request: queued.request, code, retryAfter };
    }
}

function nextOfClass(waiting: ClassQueue, now: Milliseconds): QueuedRequest | undefined {
    return waiting.resumed.first ?? waiting.nextPunctual(now) ?? waiting.late.first;
}
