import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { RequestClass } from "../../version/manifest.js";
import type { PoolCapacityView } from "../admissionQueue.js";
import { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./teamShare.js";
import type { TeamWeights } from "./teamWeights.js";
import { TierQueue } from "./tierQueue.js";

/** Share of the admissible wait within which a tier's queue should drain; beyond it the tier is short of room. */
const comfortableShare = 0.5;

/** The queues of all tiers, and what can be computed of them as a whole. */
export class TierTable {
    readonly tiers: readonly TierQueue[] = Array.from({ length: lowestTier + 1 }, () => new TierQueue());
    private readonly classes = new Map<string, ClassQueue>();

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
        }
        return found;
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

    /** Expected time until a waiting request starts, in milliseconds; 0 where the pool's rate is not known. */
    expectedWait(queued: QueuedRequest, capacity: PoolCapacityView): Milliseconds {
        const own = queued.share.owner;
        const above = this.punctualUpTo(own.tier - 1);
        const tier = this.tierOf(own.tier);
        if (above.requests + tier.punctualSize <= capacity.freeSlots) {
            return 0;
        }
        const fair = Math.min(1, fairFraction(queued, tier));
        const requests = above.requests + tier.punctualSize * fair;
        const output = above.output + tier.punctualOutput * fair;
        return serviceTime(Math.max(0, requests - 1), Math.max(0, output - queued.output), capacity);
    }

    /** Expected time until everything punctual down to a tier is served, in milliseconds. */
    drainTimeOf(tier: number, capacity: PoolCapacityView): Milliseconds {
        const { requests, output } = this.punctualUpTo(tier);
        return serviceTime(requests, output, capacity);
    }

    /** Waiting requests down to a tier that will not start in comfortable time at the present rate. */
    shortfallOf(tier: number, capacity: PoolCapacityView): number {
        const own = this.tierOf(tier);
        if (own.punctualSize === 0) {
            return 0;
        }
        const { requests, output } = this.punctualUpTo(tier);
        const waiting = requests - Math.max(0, capacity.freeSlots);
        const drain = serviceTime(requests, output, capacity);
        const allowed = comfortableShare * Math.min(...own.members.map(admissibleWaitOf));
        if (waiting <= 0 || drain <= allowed) {
            return 0;
        }
        return Math.min(waiting, Math.ceil(requests * (1 - allowed / drain)));
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

/** Time that a pool takes for some work, by its rate of tokens where that is known, else by its rate of requests. */
function serviceTime(requests: number, output: number, capacity: PoolCapacityView): Milliseconds {
    if (output > 0 && capacity.tokensPerSecond > 0) {
        return (output / capacity.tokensPerSecond) * 1_000;
    }
    return capacity.requestsPerSecond > 0 ? (requests / capacity.requestsPerSecond) * 1_000 : 0;
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
