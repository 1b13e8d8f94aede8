import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import { AdmissionQueue } from "../admissionQueue.js";
import type { ActualUse, PoolCapacityView, Preemption, Refusal } from "../admissionQueue.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { ClassQueue } from "./classQueue.js";
import { KeyIndex } from "./keyIndex.js";
import { NoNeighbours, sheddingGrace } from "./neighbourPressure.js";
import type { NeighbourPressure } from "./neighbourPressure.js";
import { QuantileOutputPredictor } from "./outputPredictor.js";
import type { OutputPredictor } from "./outputPredictor.js";
import type { PoolSummary } from "./poolSummary.js";
import { PressureGauge } from "./pressureGauge.js";
import { RetryAppointments } from "./retryAppointments.js";
import { RunningRequests } from "./runningRequests.js";
import { ServiceFloor } from "./serviceFloor.js";
import { HeaviestTeamVictim } from "./shedding.js";
import type { VictimChoice } from "./shedding.js";
import type { QueuedRequest } from "./teamShare.js";
import { ListedTeamWeights } from "./teamWeights.js";
import type { TeamWeights } from "./teamWeights.js";
import { capacityForTier } from "./tierCapacity.js";
import { TierTable } from "./tierTable.js";
import { longestWaitOf } from "./waitLimits.js";

/** Waiting requests that a {@link TieredQueue} holds, unless told otherwise. */
export const defaultTieredLength = 2_000;

/** Requests beyond the length that may wait for room elsewhere, as a share of the length. */
const heldShare = 0.1;

/** Largest part of the running requests that is kept free for requests about to arrive. */
const largestReservedPart = 0.05;

/** Share of the admissible wait after which a request is urgent. */
const urgentShare = 0.1;

/** Largest part of the running requests that one decision preempts. */
const preemptedPart = 0.1;

/** The parts of a {@link TieredQueue} that vary; each has a default. */
export interface TieredQueueOptions {
    /** Waiting requests that it holds. */
    readonly maximumLength?: number;
    readonly weights?: TeamWeights;
    readonly predictor?: OutputPredictor;
    readonly neighbours?: NeighbourPressure;
    readonly victimChoice?: VictimChoice;
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
    private readonly victimChoice: VictimChoice;
    private readonly maximumLength: number;
    private readonly waiting = new Map<string, QueuedRequest>();
    private readonly held = new Map<QueuedRequest, Milliseconds>();
    private readonly keys = new KeyIndex();
    private readonly running = new RunningRequests();
    private readonly floor = new ServiceFloor();
    private readonly appointments = new RetryAppointments();
    private readonly gauge: PressureGauge;

    /** @param options Parts that replace the defaults. */
    constructor(options: TieredQueueOptions = {}) {
        super();
        this.table = new TierTable(options.weights ?? new ListedTeamWeights());
        this.predictor = options.predictor ?? new QuantileOutputPredictor();
        this.neighbours = options.neighbours ?? new NoNeighbours();
        this.victimChoice = options.victimChoice ?? new HeaviestTeamVictim();
        this.maximumLength = options.maximumLength ?? defaultTieredLength;
        this.gauge = new PressureGauge(this.table, this.running);
    }

    override get length(): number {
        return this.waiting.size;
    }

    /** Number of waiting requests that would have been shed if no room could be made below them. */
    get heldLength(): number {
        return this.held.size;
    }

    override offer(request: PendingRequest, capacity: PoolCapacityView, now: Milliseconds): readonly Refusal[] {
        const queued = this.enqueue(request, now);
        if (!this.mustShedFor(queued, capacity, now)) {
            return [];
        }
        return this.shedFor(queued, now);
    }

    override take(capacity: PoolCapacityView, now: Milliseconds): PendingRequest | undefined {
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

    override sweep(capacity: PoolCapacityView, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const each of this.table.allClasses) {
            this.refuseExpired(each, now, refusals);
            each.setAsideLate(now);
            each.forgetIdleTeams();
        }
        refusals.push(...this.shedHeld(capacity, now));
        return refusals;
    }

    override complete(request: PendingRequest, use: ActualUse): void {
        const queued = this.running.delete(request.id)?.queued;
        if (queued === undefined) {
            return;
        }
        this.predictor.learn(request, use.outputTokens);
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

    override choosePreemptions(capacity: PoolCapacityView, now: Milliseconds): readonly Preemption[] {
        const chosen: Preemption[] = [];
        const most = Math.max(1, Math.floor(this.running.size * preemptedPart));
        this.tiersShortOfRoom(capacity, now).forEach(forTier => {
            const victim = chosen.length < most ? this.running.chooseVictim(forTier) : undefined;
            if (victim !== undefined) {
                chosen.push({ request: victim.request, forTier });
            }
        });
        return chosen;
    }

    /** What other entries should know of this one; call it once for each message. */
    summarize(pool: string, capacity: PoolCapacityView, now: Milliseconds): PoolSummary {
        return this.gauge.summarize(pool, capacity, now);
    }

    /** Whether the free slots are kept for more important requests that are about to arrive and cannot wait. */
    private isReserved(queued: QueuedRequest, capacity: PoolCapacityView, now: Milliseconds): boolean {
        const reserved = this.table.reservedSlots(queued.share.owner.tier, now);
        return capacity.freeSlots <= Math.min(reserved, Math.ceil(this.running.size * largestReservedPart));
    }

    /** Takes a request that an endpoint should run before what it has of lower tiers, though it has no slot free. */
    private takeUrgent(
        next: QueuedRequest | undefined,
        capacity: PoolCapacityView,
        now: Milliseconds,
    ): PendingRequest | undefined {
        if (next === undefined || (capacity.urgentSlots ?? 0) <= 0) {
            return undefined;
        }
        const { request, share } = next;
        const patience = share.owner.serviceTimes.admissibleWait(request.requestClass) * urgentShare;
        const { tier } = request.requestClass;
        const lowerRuns = this.running.hasBelow(tier) || this.neighbours.lowerTierElsewhere(tier, now);
        if (
            now - request.arrivedAt < patience || !lowerRuns
            || !this.table.fits(tier, this.capacityFor(tier, capacity, now), now)
        ) {
            return undefined;
        }
        this.start(next, false, now);
        return request;
    }

    private enqueue(request: PendingRequest, now: Milliseconds): QueuedRequest {
        const owner = this.table.classOf(request.requestClass);
        const output = this.predictor.expected(request);
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
        this.held.delete(queued);
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

    private mustShedFor(queued: QueuedRequest, capacity: PoolCapacityView, now: Milliseconds): boolean {
        return this.overfull || this.waitsTooLong(queued, capacity, now);
    }

    private waitsTooLong(queued: QueuedRequest, capacity: PoolCapacityView, now: Milliseconds): boolean {
        const { requestClass } = queued.request;
        if (this.floor.owes(queued.share.owner, queued.cost, now)) {
            return false;
        }
        const available = this.capacityFor(requestClass.tier, capacity, now);
        const { serviceTimes } = queued.share.owner;
        const byTarget = this.table.fits(requestClass.tier, available, now)
            ? serviceTimes.admissibleWait(requestClass)
            : serviceTimes.crowdedWait(requestClass);
        const admissible = requestClass.maximumQueueMilliseconds ?? byTarget;
        return this.table.expectedWait(queued, available, now) > admissible;
    }

    private capacityFor(tier: number, capacity: PoolCapacityView, now: Milliseconds): PoolCapacityView {
        return capacityForTier(capacity, this.neighbours, tier, this.table.tierOf(tier).size, now);
    }

    /** Refuses a request that came in too late for its target, or makes room for it below its tier, here or elsewhere. */
    private shedFor(queued: QueuedRequest, now: Milliseconds): readonly Refusal[] {
        if (this.mayHold(this.lowestTouched(queued), now)) {
            this.held.set(queued, now + sheddingGrace);
            this.gauge.noteShed(queued.share.owner.tier);
            return [];
        }
        return this.shedOne(queued, now);
    }

    /** The tier of the request that is refused next for the sake of another: of the lowest one where room is short. */
    private lowestTouched(cause: QueuedRequest): number {
        return this.overfull ? this.table.lowestSheddable() ?? cause.share.owner.tier : cause.share.owner.tier;
    }

    private get overfull(): boolean {
        return this.table.sheddable > this.maximumLength;
    }

    /** Whether a request may wait beyond the length until room was made below a tier, here or elsewhere. */
    private mayHold(tier: number, now: Milliseconds): boolean {
        if (this.running.hasPreemptibleBelow(tier) && this.held.size < this.gauge.preemptibleBelow(tier)) {
            return true;
        }
        return this.held.size < this.maximumLength * heldShare && this.neighbours.lowerTierElsewhere(tier, now);
    }

    private shedOne(cause: QueuedRequest, now: Milliseconds): readonly Refusal[] {
        this.gauge.noteShed(cause.share.owner.tier);
        if (!this.overfull) {
            return [this.refuse(cause, "targetUnreachable", now)];
        }
        const victim = this.victimChoice.choose(this.table.tierOf(this.lowestTouched(cause)));
        if (victim === undefined) {
            return [];
        }
        this.passOnHold(victim, cause);
        return [this.refuse(victim, "shedUnderLoad", now)];
    }

    /** Lets the room that is being made for a shed request serve the one for whose sake it is shed. */
    private passOnHold(victim: QueuedRequest, cause: QueuedRequest): void {
        const until = this.held.get(victim);
        if (until !== undefined && victim !== cause) {
            this.held.set(cause, until);
        }
    }

    /** Sheds for the held requests whose time is over or for which no room can be made any more. */
    private shedHeld(capacity: PoolCapacityView, now: Milliseconds): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (const [queued, until] of this.held) {
            if (!this.mustShedFor(queued, capacity, now)) {
                this.held.delete(queued);
                continue;
            }
            const lowest = this.lowestTouched(queued);
            const asked = until > now && this.neighbours.lowerTierElsewhere(lowest, now);
            if (asked || this.running.hasPreemptibleBelow(lowest)) {
                continue;
            }
            this.held.delete(queued);
            refusals.push(...this.shedOne(queued, now));
        }
        return refusals;
    }

    private refuseExpired(each: ClassQueue, now: Milliseconds, refusals: Refusal[]): void {
        for (const queued of each.arrivals) {
            if (now - queued.request.arrivedAt < longestWaitOf(queued.request.requestClass)) {
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

    /** One element for each request that needs room: the tier for whose sake another is preempted. */
    private tiersShortOfRoom(capacity: PoolCapacityView, now: Milliseconds): readonly number[] {
        if (capacity.freeSlots > 0) {
            return [];
        }
        const needs: number[] = [];
        for (let tier = 0; tier < lowestTier; tier += 1) {
            const short = Math.max(
                this.table.shortfallOf(tier, capacity, now),
                this.heldOf(tier),
            );
            const missing = short - this.running.beingInterrupted - needs.length;
            for (let count = 0; count < missing; count += 1) {
                needs.push(tier);
            }
        }
        const pressed = this.neighbours.pressedTier(now);
        const owed = this.neighbours.owedPreemptions(tier => this.gauge.preemptibleBelow(tier), now);
        for (let count = 0; pressed !== undefined && count < owed; count += 1) {
            needs.push(pressed);
        }
        return needs;
    }

    private heldOf(tier: number): number {
        let count = 0;
        for (const queued of this.held.keys()) {
            count += queued.share.owner.tier === tier ? 1 : 0;
        }
        return count;
    }
}

function nextOfClass(waiting: ClassQueue, now: Milliseconds): QueuedRequest | undefined {
    return waiting.resumed.first ?? waiting.nextPunctual(now) ?? waiting.late.first;
}
