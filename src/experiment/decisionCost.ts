/**
 * Measures the time of admission decisions and prints the results as JSON.
 *
 * Each measurement fills a queue with requests of many teams in six tiers, then offers, takes and completes one request
 * after another at that queue length. The results are quantiles of the time of each call in microseconds. In the
 * overloaded case, three requests are offered for each request taken.
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

/** Time quantiles of one kind of call, in microseconds. */
interface CallCost {
    readonly p50: number;
    readonly p99: number;
    readonly highest: number;
}

/** Times of the calls at one queue length and number of teams. */
interface QueueCost {
    readonly teams: number;
    readonly queueLength: number;
    /** Whether more requests are offered than taken, so that most offers refuse a request. */
    readonly overloaded: boolean;
    readonly offer: CallCost;
    readonly take: CallCost;
    readonly complete: CallCost;
    readonly sweep: CallCost;
}

const poolCapacity = { freeSlots: 1, tokensPerSecond: 1e9, requestsPerSecond: 1e7 };

const requestClasses: readonly RequestClass[] = [...Array(tierCount).keys()].map(tier => ({
    name: `class-${tier}`,
    tier,
    weight: 1,
    target: { totalMilliseconds: 3_600_000 },
    preemptible: tier > 3,
    maximumOutputTokens: 1_000,
}));

class CallTimer {
    private readonly histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e10 });

    time<T>(call: () => T): T {
        const start = performance.now();
        const result = call();
        const nanoseconds = Math.round((performance.now() - start) * 1e6);
        this.histogram.recordValue(Math.max(1, nanoseconds));
        return result;
    }

    reset(): void {
        this.histogram.reset();
    }

    summarize(): CallCost {
        const microsecondsAt = (percentile: number): number => {
            return this.histogram.getValueAtPercentile(percentile) / nanosecondsPerMicrosecond;
        };
        return {
            p50: microsecondsAt(50),
            p99: microsecondsAt(99),
            highest: this.histogram.maxValue / nanosecondsPerMicrosecond,
        };
    }
}

function measureQueue(teamCount: number, queueLength: number, overloaded: boolean): QueueCost {
    const random = new RandomSource(1);
    const queue = new TieredQueue({ maximumLength: queueLength, remoteLoad: new SummaryRemoteLoad() });
    const timers = { offer: new CallTimer(), take: new CallTimer(), complete: new CallTimer(), sweep: new CallTimer() };
    let requestCount = 0;
    const createNext = (now: number): PendingRequest => {
        requestCount += 1;
        return createRequest(requestCount, random, teamCount, now);
    };
    while (queue.length < queueLength) {
        queue.offer(createNext(0), poolCapacity, 0);
    }
    for (let round = 0; round < warmUpRounds + measuredRounds; round += 1) {
        if (round === warmUpRounds) {
            Object.values(timers).forEach(timer => {
                timer.reset();
            });
        }
        const now = round / 10;
        const request = createNext(now);
        timers.offer.time(() => queue.offer(request, poolCapacity, now));
        if (overloaded && round % offersPerTake !== 0) {
            continue;
        }
        const takenRequest = timers.take.time(() => queue.take(poolCapacity, now));
        const outputTokens = random.integer(1, 900);
        if (takenRequest !== undefined) {
            const usage = {
                promptTokens: takenRequest.promptTokens,
                cachedTokens: 0,
                outputTokens,
                serviceTime: 4_000,
            };
            timers.complete.time(() => {
                queue.complete(takenRequest, usage);
            });
        }
        if (round % 100 === 0) {
            timers.sweep.time(() => queue.sweep(poolCapacity, now));
        }
    }
    return {
        teams: teamCount,
        queueLength,
        overloaded,
        offer: timers.offer.summarize(),
        take: timers.take.summarize(),
        complete: timers.complete.summarize(),
        sweep: timers.sweep.summarize(),
    };
}

function createRequest(number: number, random: RandomSource, teamCount: number, now: number): PendingRequest {
    const requestClass = requestClasses[random.integer(0, requestClasses.length - 1)];
    if (requestClass === undefined) {
        throw new RangeError("There are no request classes.");
    }
    return {
        id: `${number}`,
        team: `team-${random.integer(0, teamCount - 1)}`,
        keyName: "key",
        requestClass,
        pool: "pool",
        arrivedAt: now,
        promptTokens: random.integer(1, 2_000),
        maximumOutputTokens: 1_000,
        affinityDigest: "",
        idempotent: true,
    };
}

/** Returns the encoded size in bytes of a pool summary with large values in every field. */
function measureSummaryBytes(): number {
    const largeTier = {
        queued: 50_000,
        preemptible: 50_000,
        startedOutputTokens: 500_000,
        oldestWait: 60_000,
        shortfall: 50_000,
    };
    const summary = { ...emptySummary("pool"), entries: 710, tiers: requestClasses.map(() => largeTier) };
    return encode(summaryToRow(summary)).length;
}

const costs = teamCounts.flatMap(teams => {
    return queueLengths.flatMap(length => [false, true].map(overloaded => measureQueue(teams, length, overloaded)));
});
console.log(JSON.stringify({ unit: "microseconds", costs, summaryBytes: measureSummaryBytes() }, undefined, 4));
