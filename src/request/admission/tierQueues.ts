import type { Milliseconds } from "../../util/clock.js";
import { DecayingRate } from "../../util/decayingRate.js";
import { lowestTier } from "../../version/manifest.js";
import type { RequestClass } from "../../version/manifest.js";
import type { PoolCapacity } from "../admissionQueue.js";
import { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./teamQueue.js";
import type { TeamWeights } from "./teamWeights.js";
import { TierQueue } from "./tierQueue.js";

/** Share of the admissible wait within which a tier's queue should drain; beyond it the tier is short of room. */
const comfortableShare = 0.5;

/** Smallest part of the pool's rate that a tier is assumed to get, however much arrives above it. */
const smallestPart = 0.04;

/** Time over which arrivals are averaged, in milliseconds. */
const arrivalAveraging: Milliseconds = 3_000;

/** Largest part of the pool's rate that a tier and those above it may ask for to be served without a queue. */
const fittingPart = 0.9;

/** A tier whose requests may wait no longer than this has slots kept free for it, in milliseconds. */
const impatientWait: Milliseconds = 1_000;

/** Slots are kept free for the arrivals of this span of time, in milliseconds. */
const reservedTime: Milliseconds = 700;

/** Some waiting requests and their predicted output tokens. */
interface Work {
    readonly requests: number;
    readonly output: number;
}

/** The queues of all tiers, and what can be computed of them as a whole. */
export class TierTable {
    readonly tiers: readonly TierQueue[] = Array.from({ length: lowestTier + 1 }, () => new TierQueue());
    private readonly arrivingRequests = this.tiers.map(() => new DecayingRate(arrivalAveraging));
    private readonly arrivingOutput = this.tiers.map(() => new DecayingRate(arrivalAveraging));
    private readonly classes = new Map<string, ClassQueue>();
    private readonly newest = new Map<string, ClassQueue>();

    /** @param weights Weights of the teams. */
    constructor(private readonly weights: TeamWeights) {}

    /** Every class that was seen. */
    get allClasses(): Iterable<ClassQueue> {
        return this.classes.values();
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.tiers.reduce((sum, tier) => sum + tier.size, 0);
    }

    /** Number of waiting requests that were not begun. */
    get sheddable(): number {
        return this.tiers.reduce((sum, tier) => sum + tier.sheddable, 0);
    }

    /** The queue of a class; one whose tier or weight changed with a new configuration gets a queue of its own. */
    classOf(requestClass: RequestClass): ClassQueue {
        const key = `${requestClass.name}/${requestClass.tier}/${requestClass.weight}`;
        let found = this.classes.get(key);
        if (found === undefined) {
            found = new ClassQueue(requestClass.name, requestClass.tier, requestClass.weight, this.weights);
            this.tierOf(requestClass.tier).addClass(found);
            this.classes.set(key, found);
            this.newest.set(requestClass.name, found);
        }
        return found;
    }

    /** Removes the classes that a new configuration has replaced, once nothing of them waits or runs; returns them. */
    removeReplaced(): readonly ClassQueue[] {
        const removed: ClassQueue[] = [];
        for (const [key, each] of this.classes) {
            if (this.newest.get(each.name) !== each && each.size === 0 && each.teamCount === 0) {
                this.classes.delete(key);
                this.tierOf(each.tier).removeClass(each);
                removed.push(each);
            }
        }
        return removed;
    }

    /** The queue of a tier. */
    tierOf(tier: number): TierQueue {
        const found = this.tiers[tier];
        if (found === undefined) {
            throw new RangeError(`There is no tier ${tier}.`);
        }
        return found;
    }

    /** The lowest tier that has a request which may be shed. */
    lowestSheddable(): number | undefined {
        for (let tier = lowestTier; tier >= 0; tier -= 1) {
            if (this.tierOf(tier).sheddable > 0) {
                return tier;
            }
        }
        return undefined;
    }

    /** The request that strict order by tier serves next. */
    next(lowestAllowed: number, now: Milliseconds): QueuedRequest | undefined {
        for (const tier of this.tiers.slice(0, lowestAllowed + 1)) {
            const queued = tier.next(now);
            if (queued !== undefined) {
                return queued;
            }
        }
        return undefined;
    }

    /** Notes that a request arrived. */
    noteArrival(queued: QueuedRequest, now: Milliseconds): void {
        const { tier } = queued.share.owner;
        this.arrivingRequests[tier]?.add(1, now);
        this.arrivingOutput[tier]?.add(queued.output, now);
    }

    /**
     * Slots to keep free for tiers above one whose requests cannot wait, as many as arrive in {@link reservedTime}.
     *
     * Trunk reservation, as in circuit-switched networks (Akimaru and Kawashima, "Teletraffic", 1993).
     */
    reservedSlots(tier: number, now: Milliseconds): number {
        let perSecond = 0;
        for (let above = 0; above < tier; above += 1) {
            const cannotWait = this.tierOf(above).members.some(each => each.shortestAdmissibleWait < impatientWait);
            perSecond += cannotWait ? this.arrivingRequests[above]?.perSecond(now) ?? 0 : 0;
        }
        return Math.ceil((perSecond * reservedTime) / 1_000);
    }

    /** Whether the pool can serve everything that arrives down to a tier. */
    fits(tier: number, capacity: PoolCapacity, now: Milliseconds): boolean {
        if (capacity.tokensPerSecond > 0) {
            return sumAbove(this.arrivingOutput, tier + 1, now) <= capacity.tokensPerSecond * fittingPart;
        }
        return sumAbove(this.arrivingRequests, tier + 1, now) <= capacity.requestsPerSecond * fittingPart;
    }

    /** Expected time until a waiting request starts, in milliseconds; 0 where the pool's rate is not known. */
    expectedWait(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): Milliseconds {
        const own = queued.share.owner;
        const above = this.punctualUpTo(own.tier - 1);
        const tier = this.tierOf(own.tier);
        if (above.requests + tier.punctualSize <= capacity.freeSlots) {
            return 0;
        }
        const fair = fairFraction(queued, tier);
        const part = Math.min(1, fair);
        const requests = Math.max(0, above.requests + tier.punctualSize * part - 1);
        const output = Math.max(0, above.output + tier.punctualOutput * part - queued.output);
        const wait = this.serviceTime(own.tier, { requests, output }, capacity, now);
        return fair <= 1 ? wait : Math.max(wait, this.waitBehindOwnTeam(queued, fair, capacity, now));
    }

    /**
     * Expected wait of a request whose team asks for more than its part: others, who ask for less, go on passing it.
     *
     * The team's own rate of service shows how much they leave to it; its part by weight is the least.
     */
    private waitBehindOwnTeam(
        queued: QueuedRequest,
        fair: number,
        capacity: PoolCapacity,
        now: Milliseconds,
    ): Milliseconds {
        const { share } = queued;
        const ahead = (share.punctual.size - 1) * queued.output;
        const tier = this.tierOf(share.owner.tier);
        const byWeight = this.serviceTime(
            share.owner.tier,
            {
                requests: tier.punctualSize * fair,
                output: tier.punctualOutput * fair,
            },
            capacity,
            now,
        );
        const served = share.served.perSecond(now);
        return served > 0 ? Math.min(byWeight, (ahead * 1_000) / served) : byWeight;
    }

    /** Waiting requests down to a tier that will not start in comfortable time at the present rate. */
    shortfallOf(tier: number, capacity: PoolCapacity, now: Milliseconds): number {
        const own = this.tierOf(tier);
        if (own.punctualSize === 0) {
            return 0;
        }
        const work = this.punctualUpTo(tier);
        const waiting = work.requests - Math.max(0, capacity.freeSlots);
        const drain = this.serviceTime(tier, work, capacity, now);
        const allowed = comfortableShare * Math.min(...own.members.map(admissibleWaitOf));
        if (waiting <= 0 || drain <= allowed) {
            return 0;
        }
        return Math.min(waiting, Math.ceil(work.requests * (1 - allowed / drain)));
    }

    /**
     * Time that the pool takes for some work of a tier, while more important requests go on arriving.
     *
     * Counted in output tokens where their rate is known, else in requests.
     */
    private serviceTime(tier: number, work: Work, capacity: PoolCapacity, now: Milliseconds): Milliseconds {
        if (work.output > 0 && capacity.tokensPerSecond > 0) {
            const left = capacity.tokensPerSecond - sumAbove(this.arrivingOutput, tier, now);
            return (work.output * 1_000) / Math.max(left, capacity.tokensPerSecond * smallestPart);
        }
        if (capacity.requestsPerSecond > 0) {
            const left = capacity.requestsPerSecond - sumAbove(this.arrivingRequests, tier, now);
            return (work.requests * 1_000) / Math.max(left, capacity.requestsPerSecond * smallestPart);
        }
        return 0;
    }

    private punctualUpTo(lowest: number): { readonly requests: number; readonly output: number; } {
        let requests = 0;
        let output = 0;
        for (const tier of this.tiers.slice(0, lowest + 1)) {
            requests += tier.punctualSize;
            output += tier.punctualOutput;
        }
        return { requests, output };
    }
}

function sumAbove(rates: readonly DecayingRate[], tier: number, now: Milliseconds): number {
    return rates.slice(0, tier).reduce((sum, rate) => sum + rate.perSecond(now), 0);
}

/** Part of a tier's work that fair sharing serves until a request of a team has gone; it may exceed one. */
function fairFraction(queued: QueuedRequest, tier: TierQueue): number {
    const { share } = queued;
    const classWeights = tier.members.reduce((sum, each) => sum + (each.size === 0 ? 0 : each.weight), 0);
    const ofClass = share.owner.weight / Math.max(share.owner.weight, classWeights);
    const ofTeam = share.weight / Math.max(share.weight, share.owner.activeWeight);
    const ownPart = share.punctual.size / Math.max(1, tier.punctualSize);
    return ownPart / (ofClass * ofTeam);
}

function admissibleWaitOf(member: ClassQueue): Milliseconds {
    const request = member.arrivals.last?.request ?? member.resumed.last?.request;
    return request === undefined ? Infinity : member.serviceTimes.admissibleWait(request.requestClass);
}
