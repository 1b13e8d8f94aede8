import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { PoolCapacity } from "../admissionQueue.js";
import type { PressureGauge } from "./poolSummaryBuilder.js";
import { sheddingGrace } from "./remoteLoad.js";
import type { NeighbourPressure } from "./remoteLoad.js";
import type { RunningRequests } from "./runningRequests.js";
import type { ServiceFloor } from "./serviceFloor.js";
import type { VictimChoice } from "./sheddingPolicy.js";
import type { QueuedRequest } from "./teamQueue.js";
import { capacityForTier } from "./tierCapacity.js";
import type { TierTable } from "./tierQueues.js";

/** Requests beyond the length that may wait for room at other entries, as a share of the length. */
const heldShare = 0.1;

/** Requests that may wait for room at other entries at most, because each of them is judged anew at every sweep. */
const mostHeld = 256;

/** A waiting request that must be refused under load, and why. */
export interface ShedDecision {
    readonly queued: QueuedRequest;
    readonly code: "targetUnreachable" | "shedUnderLoad";
}

/** What a {@link LoadGuard} looks at. */
export interface LoadGuardParts {
    readonly table: TierTable;
    readonly running: RunningRequests;
    readonly floor: ServiceFloor;
    readonly gauge: PressureGauge;
    readonly neighbours: NeighbourPressure;
    readonly victimChoice: VictimChoice;
    /** Waiting requests that the queue holds. */
    readonly maximumLength: number;
}

/**
 * Decides who is refused when the pool cannot serve everything.
 *
 * Where room is short, the lowest tier gives way. What would wait too long behind its own tier and those above it is
 * refused early. In both cases nobody is refused while room can be made below: then the request is held, which means
 * that it waits beyond the rules until running work below it was preempted, here or elsewhere.
 */
export class LoadGuard {
    private readonly held = new Map<QueuedRequest, Milliseconds>();
    private readonly heldCounts = new Array<number>(lowestTier + 1).fill(0);

    /** @param parts What it looks at. */
    constructor(private readonly parts: LoadGuardParts) {}

    /** Number of held requests. */
    get heldLength(): number {
        return this.held.size;
    }

    /** Number of held requests of a tier. */
    heldOf(tier: number): number {
        return this.heldCounts[tier] ?? 0;
    }

    /** Whether everything that arrives down to a tier can be served, counting what others yield. */
    fits(tier: number, capacity: PoolCapacity, now: Milliseconds): boolean {
        return this.parts.table.fits(tier, this.capacityFor(tier, capacity, now), now);
    }

    /** Decides about a request that was just added; undefined when nobody must be refused for it. */
    judge(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): ShedDecision | undefined {
        if (!this.mustShedFor(queued, capacity, now)) {
            return undefined;
        }
        if (this.mayHold(this.lowestTouched(queued), now)) {
            this.hold(queued, now + sheddingGrace);
            this.parts.gauge.noteShed(queued.share.owner.tier);
            return undefined;
        }
        return this.choose(queued);
    }

    /** Decides about held requests whose time is over; each decision must be carried out before the next is taken. */
    *judgeHeld(capacity: PoolCapacity, now: Milliseconds): Generator<ShedDecision> {
        for (const [queued, until] of this.held) {
            if (!this.mustShedFor(queued, capacity, now)) {
                this.forget(queued);
                continue;
            }
            const lowest = this.lowestTouched(queued);
            const asked = until > now && this.parts.neighbours.lowerTierElsewhere(lowest, now);
            if (asked || this.parts.running.hasPreemptibleBelow(lowest)) {
                continue;
            }
            this.forget(queued);
            const decision = this.choose(queued);
            if (decision !== undefined) {
                yield decision;
            }
        }
    }

    /** Notes that a request does not wait any more. */
    forget(queued: QueuedRequest): void {
        if (this.held.delete(queued)) {
            this.countHeld(queued, -1);
        }
    }

    private get overfull(): boolean {
        return this.parts.table.sheddable > this.parts.maximumLength;
    }

    private mustShedFor(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): boolean {
        return this.overfull || this.waitsTooLong(queued, capacity, now);
    }

    private waitsTooLong(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): boolean {
        const { table, floor } = this.parts;
        const { requestClass } = queued.request;
        const { owner } = queued.share;
        if (floor.owes(owner, queued.cost, now)) {
            return false;
        }
        const available = this.capacityFor(owner.tier, capacity, now);
        const byTarget = table.fits(owner.tier, available, now)
            ? owner.serviceTimes.admissibleWait(requestClass)
            : owner.serviceTimes.crowdedWait(requestClass);
        const admissible = requestClass.maximumQueueMilliseconds ?? byTarget;
        return table.expectedWait(queued, available, now) > admissible;
    }

    private capacityFor(tier: number, capacity: PoolCapacity, now: Milliseconds): PoolCapacity {
        const { neighbours, table } = this.parts;
        return capacityForTier(capacity, neighbours, tier, table.tierOf(tier).size, now);
    }

    /** The tier of the request that is refused next for the sake of another: the lowest one where room is short. */
    private lowestTouched(cause: QueuedRequest): number {
        const own = cause.share.owner.tier;
        return this.overfull ? this.parts.table.lowestSheddable() ?? own : own;
    }

    /** Whether a request may wait beyond the rules until room was made below a tier, here or elsewhere. */
    private mayHold(tier: number, now: Milliseconds): boolean {
        const { running, gauge, neighbours, maximumLength } = this.parts;
        if (running.hasPreemptibleBelow(tier) && this.held.size < gauge.preemptibleBelow(tier)) {
            return true;
        }
        const limit = Math.min(mostHeld, maximumLength * heldShare);
        return this.held.size < limit && neighbours.lowerTierElsewhere(tier, now);
    }

    private choose(cause: QueuedRequest): ShedDecision | undefined {
        this.parts.gauge.noteShed(cause.share.owner.tier);
        if (!this.overfull) {
            return { queued: cause, code: "targetUnreachable" };
        }
        const victim = this.parts.victimChoice.choose(this.parts.table.tierOf(this.lowestTouched(cause)));
        if (victim === undefined) {
            return undefined;
        }
        this.passOnHold(victim, cause);
        return { queued: victim, code: "shedUnderLoad" };
    }

    /** Lets the room that is being made for a shed request serve the one for whose sake it is shed. */
    private passOnHold(victim: QueuedRequest, cause: QueuedRequest): void {
        const until = this.held.get(victim);
        if (until !== undefined && victim !== cause) {
            this.hold(cause, until);
        }
    }

    private hold(queued: QueuedRequest, until: Milliseconds): void {
        if (!this.held.has(queued)) {
            this.countHeld(queued, 1);
        }
        this.held.set(queued, until);
    }

    private countHeld(queued: QueuedRequest, change: number): void {
        const { tier } = queued.share.owner;
        this.heldCounts[tier] = (this.heldCounts[tier] ?? 0) + change;
    }
}
