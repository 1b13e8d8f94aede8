import type { ServiceWork } from "../../connection/hosted/linkMessages.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import { hashText, mixBits } from "../routing/hashText.js";
import type { PromptSegment } from "./callTraits.js";
import type { Placement, PlacementRequest } from "./endpointChooser.js";
import { EndpointChooser } from "./endpointChooser.js";
import { LongPromptPartition } from "./longPromptPartition.js";
import type { EngineGroup } from "./longPromptPartition.js";
import { PrefixCacheEstimate } from "./prefixCacheEstimate.js";

/** Assumed prefill rate of an engine, in tokens per millisecond. */
const prefillTokensPerMillisecond = 60;

/** Assumed time that a call takes at a service without an engine, until one was measured. */
const assumedServiceTime: Milliseconds = 50;

/** Weight of the newest call in the exponentially weighted mean of the service time. */
const newestServiceTimeWeight = 0.05;

/** Delay that each running call adds to the next one at an engine: its share of a batch step. */
const delayPerRunningCall: Milliseconds = 2;

/**
 * Assumed prompt length of waiting calls of other entries, as a fraction of the call's own: both are of the same group.
 */
const otherEntriesPromptFraction = 0.7;

/** Expected wait of a new call as a multiple of the time that the oldest pending call has waited so far. */
const pendingWaitFactor = 1.5;

/** Penalty per percent of recent calls that failed. */
const penaltyPerFailurePercent: Milliseconds = 10;

/** Penalty for an endpoint that may be shutting down. */
const shutdownPenalty: Milliseconds = 300;

/** Time without data from an endpoint with running calls that incurs no penalty yet. */
const toleratedSilence: Milliseconds = 400;

/** Engine time per output token of a call, at the batch sizes at which engines work efficiently. */
const decodingTimePerToken: Milliseconds = 0.1;

/** Additional wait in its own group that a call accepts before it is sent to an engine of the other group. */
const crossGroupPenalty: Readonly<Record<EngineGroup, Milliseconds>> = { longPrompts: 3_000, otherCalls: 600 };

/**
 * Delay per token that is accepted to avoid the prefill of a shared prompt segment that another engine has cached.
 *
 * A repeated prefill of a shared segment costs the operator more than a short wait costs the caller.
 */
const penaltyPerSharedToken: Milliseconds = 0.3;

/**
 * Weight of uncached shared tokens at an endpoint that is neither the first nor the second preference of the prefix.
 */
const nonPreferredWeight = 1.1;

/** Chooses the endpoint with the earliest predicted start, given its queue, the prefill needed and signs of failure. */
export class PredictedStartChooser extends EndpointChooser {
    private readonly prefixCaches = new WeakMap<HostedEndpoint, PrefixCacheEstimate>();
    private readonly serviceTimes = new Map<string, Milliseconds>();
    private readonly partitions = new Map<string, LongPromptPartition>();

    /** @param random Spreads calls over endpoints that are equally good. */
    constructor(private readonly random: RandomSource) {
        super();
    }

    override choose(
        call: PlacementRequest,
        candidates: readonly HostedEndpoint[],
        now: Milliseconds,
    ): Placement | undefined {
        const untried = candidates.filter(endpoint => !call.excluded.has(endpoint));
        const healthy = untried.filter(endpoint => !endpoint.isEjected(now));
        const usable = healthy.length > 0 ? healthy : untried;
        const engineGroup = call.service.engine === undefined ? undefined : this.engineGroupFor(call, usable, now);
        const groupEndpoints = usable.filter(endpoint => engineGroup?.members.has(endpoint) !== false);
        const preferences = preferredEndpoints(call.traits.promptSegments, groupEndpoints);
        let best: Placement | undefined;
        let bestCost = Infinity;
        for (const endpoint of this.rotate(usable)) {
            const placement = this.predict(call, endpoint, now);
            const groupPenalty = engineGroup === undefined || engineGroup.members.has(endpoint)
                ? 0
                : crossGroupPenalty[engineGroup.group];
            const cost = groupPenalty + this.costOf(call, placement, preferences, now);
            if (cost < bestCost) {
                best = placement;
                bestCost = cost;
            }
        }
        if (best !== undefined && engineGroup !== undefined) {
            const work = best.uncachedTokens / prefillTokensPerMillisecond
                + call.traits.maximumOutputTokens * decodingTimePerToken;
            this.partitionOf(call).recordWork(engineGroup.group, work, now);
        }
        if (best !== undefined) {
            this.prefixCacheOf(best.endpoint).recordUse(call.traits.promptSegments);
        }
        return best;
    }

    override recordStart(
        call: PlacementRequest,
        placement: Placement,
        waitTime: Milliseconds,
        now: Milliseconds,
    ): void {
        if (call.service.engine !== undefined) {
            const prefillTime = placement.uncachedTokens / prefillTokensPerMillisecond;
            placement.endpoint.recordQueueWait(call.urgency, Math.max(0, waitTime - prefillTime), now);
            return;
        }
        const serviceTime = Math.max(1, waitTime - placement.predictedWait);
        const meanTime = this.serviceTimes.get(call.service.name) ?? assumedServiceTime;
        this.serviceTimes.set(call.service.name, meanTime + newestServiceTimeWeight * (serviceTime - meanTime));
    }

    override ownWork(now: Milliseconds): ServiceWork {
        const work = [...this.partitions].map(([service, partition]) => [service, partition.ownWork(now)] as const);
        return Object.fromEntries(work);
    }

    override recordTotalWork(work: ServiceWork, now: Milliseconds): void {
        for (const [service, partition] of this.partitions) {
            const serviceWork = work[service];
            if (serviceWork !== undefined) {
                partition.recordTotalWork(serviceWork, now);
            }
        }
    }

    /** The endpoints in the same order from a random one on: of equally good ones the first is chosen. */
    private rotate(endpoints: readonly HostedEndpoint[]): readonly HostedEndpoint[] {
        const first = this.random.integer(0, Math.max(0, endpoints.length - 1));
        return [...endpoints.slice(first), ...endpoints.slice(0, first)];
    }

    /** The engine group of a call, and the engines in it. */
    private engineGroupFor(
        call: PlacementRequest,
        endpoints: readonly HostedEndpoint[],
        now: Milliseconds,
    ): { readonly group: EngineGroup; readonly members: ReadonlySet<HostedEndpoint>; } {
        const partition = this.partitionOf(call);
        const prefillTime = call.traits.promptTokens / prefillTokensPerMillisecond;
        const group = partition.groupOf(prefillTime, call.minimumEventGapTarget);
        return { group, members: partition.enginesOf(group, endpoints, now) };
    }

    private partitionOf(call: PlacementRequest): LongPromptPartition {
        const known = this.partitions.get(call.service.name) ?? new LongPromptPartition();
        this.partitions.set(call.service.name, known);
        return known;
    }

    private predict(call: PlacementRequest, endpoint: HostedEndpoint, now: Milliseconds): Placement {
        const { service, traits } = call;
        if (service.engine === undefined) {
            const serviceTime = this.serviceTimes.get(service.name) ?? assumedServiceTime;
            const excessCalls = endpoint.estimatedCalls(now) + 1 - endpoint.record.slots;
            const predictedWait = excessCalls > 0 ? excessCalls * serviceTime / Math.max(1, endpoint.record.slots) : 0;
            return { endpoint, predictedWait, uncachedTokens: 0 };
        }
        const uncachedTokens = traits.promptTokens - this.prefixCacheOf(endpoint).cachedTokens(traits.promptSegments);
        const otherEntriesTokens = endpoint.estimatedOtherEntriesWaiting(now) * traits.promptTokens
            * otherEntriesPromptFraction;
        const queuedTokens = endpoint.pendingPrefillTokens + otherEntriesTokens;
        const runningCalls = endpoint.estimatedCalls(now);
        const modelledWait = queuedTokens / prefillTokensPerMillisecond + runningCalls * delayPerRunningCall;
        // Measured waits correct the model, which knows only the number of other entries' calls, not their sizes.
        const pendingWait = endpoint.longestPendingWait(call.urgency, now) * pendingWaitFactor;
        const observedWait = Math.max(endpoint.recentQueueWait(call.urgency, now), pendingWait);
        const predictedWait = Math.max(modelledWait, observedWait)
            + Math.max(0, uncachedTokens) / prefillTokensPerMillisecond;
        return { endpoint, predictedWait, uncachedTokens: Math.max(0, uncachedTokens) };
    }

    private costOf(
        call: PlacementRequest,
        placement: Placement,
        preferences: readonly HostedEndpoint[],
        now: Milliseconds,
    ): number {
        const { endpoint, predictedWait } = placement;
        const sharedTokens = this.uncachedSharedTokens(call.traits.promptSegments, endpoint);
        const rank = preferences.indexOf(endpoint);
        const sharedTokenWeight = rank === 0 ? 0 : rank === 1 ? 1 : nonPreferredWeight;
        const occupancy = call.service.engine === undefined
            ? endpoint.estimatedCalls(now) / Math.max(1, endpoint.record.slots)
            : 0;
        return predictedWait
            + sharedTokens * sharedTokenWeight * penaltyPerSharedToken
            + occupancy
            + endpoint.record.warmUpTime / 10
            + (endpoint.mayBeShuttingDown(now) ? shutdownPenalty : 0)
            + endpoint.failureRate * 100 * penaltyPerFailurePercent
            + Math.max(0, endpoint.silentTime(now) - toleratedSilence);
    }

    /** Tokens of shared prompt segments that are presumably not in the endpoint's prefix cache. */
    private uncachedSharedTokens(segments: readonly PromptSegment[], endpoint: HostedEndpoint): number {
        const shared = segments.slice(0, -1);
        const total = shared.reduce((sum, segment) => sum + segment.tokens, 0);
        return total - this.prefixCacheOf(endpoint).cachedTokens(shared);
    }

    private prefixCacheOf(endpoint: HostedEndpoint): PrefixCacheEstimate {
        const known = this.prefixCaches.get(endpoint) ?? new PrefixCacheEstimate();
        this.prefixCaches.set(endpoint, known);
        return known;
    }
}

/**
 * The two endpoints that all entries prefer for a shared prefix, by rendezvous hashing (Thaler and Ravishankar, 1998).
 */
function preferredEndpoints(
    segments: readonly PromptSegment[],
    endpoints: readonly HostedEndpoint[],
): readonly HostedEndpoint[] {
    // The last segment is specific to the call.
    const shared = segments.at(-2);
    if (shared === undefined) {
        return [];
    }
    const hash = hashText(shared.id);
    const scores = new Map(endpoints.map(endpoint => [endpoint, mixBits(hash ^ endpoint.idHash)] as const));
    const ranked = [...endpoints].sort((a, b) => (scores.get(b) ?? 0) - (scores.get(a) ?? 0));
    return ranked.slice(0, 2);
}
