import type { Milliseconds } from "../../util/clock.js";
import { ExponentialRateEstimator } from "../../util/exponentialRateEstimator.js";
import { lowestTier } from "../../version/manifest.js";
import type { RequestClass } from "../../version/manifest.js";
import type { PoolCapacity } from "../admissionQueue.js";
import { ClassQueue } from "./classQueue.js";
import type { QueuedRequest } from "./teamQueue.js";
import type { TeamWeights } from "./teamWeights.js";
import { TierQueue } from "./tierQueue.js";

/** Fraction of the admissible wait within which a tier's queue should drain; beyond it, the tier has a shortfall. */
const targetDrainFraction = 0.5;

/** Minimum fraction of the pool's rate that a tier is assumed to get, regardless of the arrivals of higher tiers. */
const minimumRateFraction = 0.04;

/** Averaging time of the arrival rates, in milliseconds. */
const arrivalAveragingTime: Milliseconds = 3_000;

/** Maximum fraction of the pool's rate at which the arrivals of a tier and those above it count as servable. */
const maximumUtilisation = 0.9;

/** Slots are reserved for a tier if a class of it has an admissible wait below this, in milliseconds. */
const reservationWaitLimit: Milliseconds = 1_000;

/** Time span whose expected arrivals have slots reserved for them, in milliseconds. */
const reservationWindow: Milliseconds = 700;

/** A number of waiting requests and their predicted output tokens. */
interface Work {
    readonly requestCount: number;
    readonly outputTokens: number;
}

/** The queues of all tiers, with estimates over several tiers; tier 0 is the highest. */
export class TierQueues {
    readonly tiers: readonly TierQueue[] = Array.from({ length: lowestTier + 1 }, () => new TierQueue());
    private readonly requestArrivalRates = this.tiers.map(() => new ExponentialRateEstimator(arrivalAveragingTime));
    private readonly outputArrivalRates = this.tiers.map(() => new ExponentialRateEstimator(arrivalAveragingTime));
    private readonly classes = new Map<string, ClassQueue>();
    private readonly newestByName = new Map<string, ClassQueue>();

    /** @param weights Weights of the teams. */
    constructor(private readonly weights: TeamWeights) {}

    /** The queues of all known classes. */
    get allClasses(): Iterable<ClassQueue> {
        return this.classes.values();
    }

    /** Number of waiting requests. */
    get size(): number {
        return this.tiers.reduce((sum, tier) => sum + tier.size, 0);
    }

    /** Number of waiting requests that have not started. */
    get sheddableCount(): number {
        return this.tiers.reduce((sum, tier) => sum + tier.sheddableCount, 0);
    }

    /** Returns the queue of a class, which is a new one if a new configuration changed its tier or weight. */
    classQueueOf(requestClass: RequestClass): ClassQueue {
        const key = `${requestClass.name}/${requestClass.tier}/${requestClass.weight}`;
        let classQueue = this.classes.get(key);
        if (classQueue === undefined) {
            classQueue = new ClassQueue(requestClass.name, requestClass.tier, requestClass.weight, this.weights);
            this.tierQueueOf(requestClass.tier).addClass(classQueue);
            this.classes.set(key, classQueue);
            this.newestByName.set(requestClass.name, classQueue);
        }
        return classQueue;
    }

    /** Removes and returns the classes replaced by a new configuration that have no waiting or running requests. */
    removeReplacedClasses(): readonly ClassQueue[] {
        const removed: ClassQueue[] = [];
        for (const [key, classQueue] of this.classes) {
            if (
                this.newestByName.get(classQueue.name) !== classQueue && classQueue.size === 0
                && classQueue.teamCount === 0
            ) {
                this.classes.delete(key);
                this.tierQueueOf(classQueue.tier).removeClass(classQueue);
                removed.push(classQueue);
            }
        }
        return removed;
    }

    /** Returns the queue of a tier; throws a `RangeError` if there is no such tier. */
    tierQueueOf(tier: number): TierQueue {
        const tierQueue = this.tiers[tier];
        if (tierQueue === undefined) {
            throw new RangeError(`There is no tier ${tier}.`);
        }
        return tierQueue;
    }

    /** Returns the lowest tier that has a sheddable request, if any. */
    lowestSheddable(): number | undefined {
        for (let tier = lowestTier; tier >= 0; tier -= 1) {
            if (this.tierQueueOf(tier).sheddableCount > 0) {
                return tier;
            }
        }
        return undefined;
    }

    /** Returns the next request in strict tier order, down to the tier `lowestAllowed`. */
    next(lowestAllowed: number, now: Milliseconds): QueuedRequest | undefined {
        for (const tier of this.tiers.slice(0, lowestAllowed + 1)) {
            const queued = tier.next(now);
            if (queued !== undefined) {
                return queued;
            }
        }
        return undefined;
    }

    /** Updates the arrival rates with a request. */
    recordArrival(queued: QueuedRequest, now: Milliseconds): void {
        const { tier } = queued.teamQueue.classQueue;
        this.requestArrivalRates[tier]?.add(1, now);
        this.outputArrivalRates[tier]?.add(queued.predictedOutputTokens, now);
    }

    /**
     * Number of slots to reserve for higher tiers whose requests cannot wait: their arrivals in the reservation window.
     *
     * This is trunk reservation, as in circuit-switched networks (Akimaru and Kawashima, "Teletraffic", 1993).
     */
    reservedSlots(tier: number, now: Milliseconds): number {
        let perSecond = 0;
        for (let higherTier = 0; higherTier < tier; higherTier += 1) {
            const needsReservation = this.tierQueueOf(higherTier).classQueues.some(classQueue =>
                classQueue.admissibleWaitOfNewest < reservationWaitLimit
            );
            perSecond += needsReservation ? this.requestArrivalRates[higherTier]?.perSecond(now) ?? 0 : 0;
        }
        return Math.ceil((perSecond * reservationWindow) / 1_000);
    }

    /** Whether the pool can serve the arrivals of a tier and those above it. */
    canServeArrivals(tier: number, capacity: PoolCapacity, now: Milliseconds): boolean {
        if (capacity.tokensPerSecond > 0) {
            return totalRateAbove(this.outputArrivalRates, tier + 1, now)
                <= capacity.tokensPerSecond * maximumUtilisation;
        }
        return totalRateAbove(this.requestArrivalRates, tier + 1, now)
            <= capacity.requestsPerSecond * maximumUtilisation;
    }

    /** Expected time until a waiting request starts, in milliseconds; 0 if the pool's rate is unknown. */
    expectedWait(queued: QueuedRequest, capacity: PoolCapacity, now: Milliseconds): Milliseconds {
        const classQueue = queued.teamQueue.classQueue;
        const workAbove = this.onTimeWorkThrough(classQueue.tier - 1);
        const tierQueue = this.tierQueueOf(classQueue.tier);
        if (workAbove.requestCount + tierQueue.onTimeSize <= capacity.freeSlots) {
            return 0;
        }
        const workFraction = fairShareWorkFraction(queued, tierQueue);
        const cappedFraction = Math.min(1, workFraction);
        const requestCount = Math.max(0, workAbove.requestCount + tierQueue.onTimeSize * cappedFraction - 1);
        const outputTokens = Math.max(
            0,
            workAbove.outputTokens + tierQueue.onTimeOutputTokens * cappedFraction - queued.predictedOutputTokens,
        );
        const wait = this.drainTimeOf(classQueue.tier, { requestCount, outputTokens }, capacity, now);
        return workFraction <= 1 ? wait : Math.max(wait, this.waitBehindOwnTeam(queued, workFraction, capacity, now));
    }

    /**
     * Expected wait of a request whose team exceeds its fair share, so that requests of other teams overtake it.
     *
     * Computed from the rate of the team's started requests, which includes capacity that other teams do not use; the
     * wait that follows from the team's share by weight is the upper limit.
     */
    private waitBehindOwnTeam(
        queued: QueuedRequest,
        workFraction: number,
        capacity: PoolCapacity,
        now: Milliseconds,
    ): Milliseconds {
        const { teamQueue } = queued;
        const outputTokensAhead = (teamQueue.onTime.size - 1) * queued.predictedOutputTokens;
        const tierQueue = this.tierQueueOf(teamQueue.classQueue.tier);
        const waitByWeight = this.drainTimeOf(
            teamQueue.classQueue.tier,
            {
                requestCount: tierQueue.onTimeSize * workFraction,
                outputTokens: tierQueue.onTimeOutputTokens * workFraction,
            },
            capacity,
            now,
        );
        const tokensPerSecond = teamQueue.startedTokenRate.perSecond(now);
        return tokensPerSecond > 0
            ? Math.min(waitByWeight, (outputTokensAhead * 1_000) / tokensPerSecond)
            : waitByWeight;
    }

    /** Number of waiting requests of a tier and those above it that will not start in time at the current rate. */
    shortfallOf(tier: number, capacity: PoolCapacity, now: Milliseconds): number {
        const tierQueue = this.tierQueueOf(tier);
        if (tierQueue.onTimeSize === 0) {
            return 0;
        }
        const work = this.onTimeWorkThrough(tier);
        const waiting = work.requestCount - Math.max(0, capacity.freeSlots);
        const drainTime = this.drainTimeOf(tier, work, capacity, now);
        const allowedTime = targetDrainFraction * Math.min(...tierQueue.classQueues.map(admissibleWaitOf));
        if (waiting <= 0 || drainTime <= allowedTime) {
            return 0;
        }
        return Math.min(waiting, Math.ceil(work.requestCount * (1 - allowedTime / drainTime)));
    }

    /**
     * Time that the pool takes to start the given work of a tier while requests of higher tiers keep arriving.
     *
     * Computed from output tokens if their rate is known, else from requests; 0 if neither rate is known.
     */
    private drainTimeOf(tier: number, work: Work, capacity: PoolCapacity, now: Milliseconds): Milliseconds {
        if (work.outputTokens > 0 && capacity.tokensPerSecond > 0) {
            const remainingRate = capacity.tokensPerSecond - totalRateAbove(this.outputArrivalRates, tier, now);
            return (work.outputTokens * 1_000)
                / Math.max(remainingRate, capacity.tokensPerSecond * minimumRateFraction);
        }
        if (capacity.requestsPerSecond > 0) {
            const remainingRate = capacity.requestsPerSecond - totalRateAbove(this.requestArrivalRates, tier, now);
            return (work.requestCount * 1_000)
                / Math.max(remainingRate, capacity.requestsPerSecond * minimumRateFraction);
        }
        return 0;
    }

    private onTimeWorkThrough(lowest: number): { readonly requestCount: number; readonly outputTokens: number; } {
        let requestCount = 0;
        let outputTokens = 0;
        for (const tier of this.tiers.slice(0, lowest + 1)) {
            requestCount += tier.onTimeSize;
            outputTokens += tier.onTimeOutputTokens;
        }
        return { requestCount, outputTokens };
    }
}

function totalRateAbove(rates: readonly ExponentialRateEstimator[], tier: number, now: Milliseconds): number {
    return rates.slice(0, tier).reduce((sum, rate) => sum + rate.perSecond(now), 0);
}

/**
 * Fraction of a tier's work that fair sharing serves before the last queued request of a team starts.
 *
 * Above 1, the team has more queued than its share.
 */
function fairShareWorkFraction(queued: QueuedRequest, tierQueue: TierQueue): number {
    const { teamQueue } = queued;
    const classWeights = tierQueue.classQueues.reduce(
        (sum, classQueue) => sum + (classQueue.size === 0 ? 0 : classQueue.weight),
        0,
    );
    const classFraction = teamQueue.classQueue.weight / Math.max(teamQueue.classQueue.weight, classWeights);
    const teamFraction = teamQueue.weight / Math.max(teamQueue.weight, teamQueue.classQueue.activeWeight);
    const queuedFraction = teamQueue.onTime.size / Math.max(1, tierQueue.onTimeSize);
    return queuedFraction / (classFraction * teamFraction);
}

function admissibleWaitOf(classQueue: ClassQueue): Milliseconds {
    const request = classQueue.arrivals.last?.request ?? classQueue.preempted.last?.request;
    return request === undefined ? Infinity : classQueue.serviceTimes.admissibleWait(request.requestClass);
}
