/**
 * Measures the time of admission decisions and prints it as JSON.
 *
 * Each measurement fills a queue to a length with requests of a number of teams over six tiers, then offers, takes and
 * completes one request after another at that length, and gives quantiles of the time of each call in microseconds.
 * Overloaded, three are offered for each that is taken.
 */
import { encode } from "cbor-x";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { performance } from "node:perf_hooks";
import { emptySummary, summaryToRow } from "../request/admission/poolSummary.js";
import { SummaryRemoteLoad } from "../request/admission/remoteLoad.js";
import { TieredQueue } from "../request/admission/tieredQueue.js";
import type { PendingRequest } from "../request/pendingRequest.js";
import { RandomSource } from "../util/randomSource.js";
import type { RequestClass } from "../version/manifest.js";

const tierCount = 6;
const teamCounts = [10, 1_000, 18_000];
const queueLengths = [100, 2_000, 50_000];
const warmUpRounds = 20_000;
const measuredRounds = 100_000;
const offersPerTake = 3;
const nanosecondsPerMicrosecond = 1_000;

/** Times of one kind of call, in microseconds. */
interface CallCost {
    readonly p50: number;
    readonly p99: number;
    readonly highest: number;
}

interface QueueCost {
    readonly teams: number;
    readonly queueLength: number;
    /** Whether more is offered than taken, so that most offers refuse a request. */
    readonly overloaded: boolean;
    readonly offer: CallCost;
    readonly take: CallCost;
    readonly complete: CallCost;
    readonly sweep: CallCost;
}

const capacity = { freeSlots: 1, tokensPerSecond: 1e9, requestsPerSecond: 1e7 };

const classes: readonly RequestClass[] = [...Array(tierCount).keys()].map(tier => ({
    name: `class-${tier}`,
    tier,
    weight: 1,
    target: { totalMilliseconds: 3_600_000 },
    preemptible: tier > 3,
    maximumOutputTokens: 1_000,
}));

class CallTimer {
    private readonly histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e10 });

    measure<T>(call: () => T): T {
        const start = performance.now();
        const result = call();
        const nanoseconds = Math.round((performance.now() - start) * 1e6);
        this.histogram.recordValue(Math.max(1, nanoseconds));
        return result;
    }

    reset(): void {
        this.histogram.reset();
    }

    cost(): CallCost {
        const at = (percentile: number): number => {
            return this.histogram.getValueAtPercentile(percentile) / nanosecondsPerMicrosecond;
        };
        return { p50: at(50), p99: at(99), highest: this.histogram.maxValue / nanosecondsPerMicrosecond };
    }
}

function measureQueue(teams: number, queueLength: number, overloaded: boolean): QueueCost {
    const random = new RandomSource(1);
    const queue = new TieredQueue({ maximumLength: queueLength, remoteLoad: new SummaryRemoteLoad() });
    const timers = { offer: new CallTimer(), take: new CallTimer(), complete: new CallTimer(), sweep: new CallTimer() };
    let next = 0;
    const create = (now: number): PendingRequest => {
        next += 1;
        return createRequest(next, random, teams, now);
    };
    while (queue.length < queueLength) {
        queue.offer(create(0), capacity, 0);
    }
    for (let round = 0; round < warmUpRounds + measuredRounds; round += 1) {
        if (round === warmUpRounds) {
            Object.values(timers).forEach(timer => {
                timer.reset();
            });
        }
        const now = round / 10;
        const request = create(now);
        timers.offer.measure(() => queue.offer(request, capacity, now));
        if (overloaded && round % offersPerTake !== 0) {
            continue;
        }
        const taken = timers.take.measure(() => queue.take(capacity, now));
        const outputTokens = random.integer(1, 900);
        if (taken !== undefined) {
            const use = { promptTokens: taken.promptTokens, cachedTokens: 0, outputTokens, serviceTime: 4_000 };
            timers.complete.measure(() => {
                queue.complete(taken, use);
            });
        }
        if (round % 100 === 0) {
            timers.sweep.measure(() => queue.sweep(capacity, now));
        }
    }
    return {
        teams,
        queueLength,
        overloaded,
        offer: timers.offer.cost(),
        take: timers.take.cost(),
        complete: timers.complete.cost(),
        sweep: timers.sweep.cost(),
    };
}

function createRequest(number: number, random: RandomSource, teams: number, now: number): PendingRequest {
    const requestClass = classes[random.integer(0, classes.length - 1)];
    if (requestClass === undefined) {
        throw new RangeError("There is no class.");
    }
    return {
        id: `${number}`,
        team: `team-${random.integer(0, teams - 1)}`,
        keyName: "key",
        requestClass,
        pool: "pool",
        arrivedAt: now,
        promptTokens: random.integer(1, 2_000),
        maximumOutputTokens: 1_000,
        prefixDigest: "",
        idempotent: true,
    };
}

/** Bytes of a summary of one pool whose every number is large. */
function summaryBytes(): number {
    const large = { queued: 50_000, preemptible: 50_000, started: 500_000, oldestWait: 60_000, shortfall: 50_000 };
    const summary = { ...emptySummary("pool"), entries: 710, tiers: classes.map(() => large) };
    return encode(summaryToRow(summary)).length;
}

const costs = teamCounts.flatMap(teams => {
    return queueLengths.flatMap(length => [false, true].map(overloaded => measureQueue(teams, length, overloaded)));
});
console.log(JSON.stringify({ unit: "microseconds", costs, summaryBytes: summaryBytes() }, undefined, 4));
