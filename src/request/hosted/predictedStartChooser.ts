import type { ServiceWork } from "../../connection/hosted/linkMessages.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { mixBits, textHash } from "../routing/textHash.js";
import type { PromptPart } from "./callTraits.js";
import type { CallToPlace, Placement } from "./endpointChooser.js";
import { EndpointChooser } from "./endpointChooser.js";
import { LongPromptPartition } from "./longPromptPartition.js";
import type { EngineGroup } from "./longPromptPartition.js";
import { PrefixRecord } from "./prefixRecord.js";

/** Assumed prefill rate of an engine, in tokens per millisecond. */
const assumedReadingPace = 60;

/** Assumed time that a call takes at a service without an engine, until one was measured. */
const assumedServiceTime: Milliseconds = 50;

/** Weight of the newest call in the exponentially weighted mean of the service time. */
const serviceTimeWeight = 0.05;

/** Delay that each running call adds to the next one at an engine: its share of a batch step. */
const delayPerRunningCall: Milliseconds = 2;

/**
 * Assumed prompt length of waiting calls of other entries, as a fraction of the call's own: both are of the same group.
 */
const foreignPromptFraction = 0.7;

/** Expected wait of a new call as a multiple of the time that the oldest pending call has waited so far. */
const growingWait = 1.5;

/** Penalty per percent of recent calls that failed. */
const delayPerFailurePercent: Milliseconds = 10;

/** Penalty for an endpoint that may be shutting down. */
const leavingDelay: Milliseconds = 300;

/** Time without data from an endpoint with running calls that incurs no penalty yet. */
const usualSilence: Milliseconds = 400;

/** Engine time per output token of a call, at the batch sizes at which engines work efficiently. */
const decodingTimePerToken: Milliseconds = 0.1;

/** Additional wait in its own group that a call accepts before it is sent to an engine of the other group. */
const crossingDelay: Readonly<Record<EngineGroup, Milliseconds>> = { longPrompts: 3_000, shortPauses: 600 };

/**
 * Delay per token that is accepted to avoid the prefill of a shared prompt segment that another engine has cached.
 *
 * A repeated prefill of a shared segment costs the operator more than a short wait costs the caller.
 */
const delayPerSharedToken: Milliseconds = 0.3;

/**
 * Weight of uncached shared tokens at an endpoint that is neither the first nor the second preference of the prefix.
 */
const farEndpointWeight = 1.1;

/** Chooses the endpoint with the earliest predicted start, given its queue, the prefill needed and signs of failure. */
export class PredictedStartChooser extends EndpointChooser {
    private readonly prefixes = new WeakMap<HostedEndpoint, PrefixRecord>();
    private readonly serviceTimes = new Map<string, Milliseconds>();
    private readonly partitions = new Map<string, LongPromptPartition>();

    override choose(
        call: CallToPlace,
        candidates: readonly HostedEndpoint[],
        now: Milliseconds,
    ): Placement | undefined {
        const open = candidates.filter(endpoint => !call.excluded.has(endpoint));
        const healthy = open.filter(endpoint => !endpoint.isSetAside(now));
        const usable = healthy.length > 0 ? healthy : open;
        const engines = call.service.engine === undefined ? undefined : this.enginesFor(call, usable, now);
        const group = usable.filter(endpoint => engines?.members.has(endpoint) !== false);
        const preferences = preferredEndpoints(call.traits.promptParts, group);
        let best: Placement | undefined;
        let bestCost = Infinity;
        for (const endpoint of usable) {
            const placement = this.predict(call, endpoint, now);
            const crossing = engines === undefined || engines.members.has(endpoint) ? 0 : crossingDelay[engines.group];
            const cost = crossing + this.costOf(call, placement, preferences, now);
            if (cost < bestCost) {
                best = placement;
                bestCost = cost;
            }
        }
        if (best !== undefined && engines !== undefined) {
            const work = best.unreadTokens / assumedReadingPace + call.traits.outputTokens * decodingTimePerToken;
            this.partitionOf(call).note(engines.group, work, now);
        }
        if (best !== undefined) {
            this.prefixesOf(best.endpoint).note(call.traits.promptParts);
        }
        return best;
    }

    override noteBegun(call: CallToPlace, placement: Placement, waited: Milliseconds, now: Milliseconds): void {
        if (call.service.engine !== undefined) {
            const readingTime = placement.unreadTokens / assumedReadingPace;
            placement.endpoint.noteWait(call.urgency, Math.max(0, waited - readingTime), now);
            return;
        }
        const ownTime = Math.max(1, waited - placement.predictedWait);
        const known = this.serviceTimes.get(call.service.name) ?? assumedServiceTime;
        this.serviceTimes.set(call.service.name, known + serviceTimeWeight * (ownTime - known));
    }

    override workPerSecond(now: Milliseconds): ServiceWork {
        const work = [...this.partitions].map(([service, partition]) => [service, partition.ownWork(now)] as const);
        return Object.fromEntries(work);
    }

    override noteFleetWork(work: ServiceWork, now: Milliseconds): void {
        for (const [service, partition] of this.partitions) {
            const fleetWork = work[service];
            if (fleetWork !== undefined) {
                partition.noteFleetWork(fleetWork, now);
            }
        }
    }

    /** The engine group of a call, and the engines in it. */
    private enginesFor(
        call: CallToPlace,
        endpoints: readonly HostedEndpoint[],
        now: Milliseconds,
    ): { readonly group: EngineGroup; readonly members: ReadonlySet<HostedEndpoint>; } {
        const partition = this.partitionOf(call);
        const readingTime = call.traits.promptTokens / assumedReadingPace;
        const group = partition.groupOf(readingTime, call.shortestPause);
        return { group, members: partition.members(group, endpoints, now) };
    }

    private partitionOf(call: CallToPlace): LongPromptPartition {
        const known = this.partitions.get(call.service.name) ?? new LongPromptPartition();
        this.partitions.set(call.service.name, known);
        return known;
    }

    private predict(call: CallToPlace, endpoint: HostedEndpoint, now: Milliseconds): Placement {
        const { service, traits } = call;
        if (service.engine === undefined) {
            const serviceTime = this.serviceTimes.get(service.name) ?? assumedServiceTime;
            const excess = endpoint.estimatedCalls(now) + 1 - endpoint.record.slots;
            const predictedWait = excess > 0 ? excess * serviceTime / Math.max(1, endpoint.record.slots) : 0;
            return { endpoint, predictedWait, unreadTokens: 0 };
        }
        const unreadTokens = traits.promptTokens - this.prefixesOf(endpoint).heldTokens(traits.promptParts);
        const foreignTokens = endpoint.estimatedForeignWaiting(now) * traits.promptTokens * foreignPromptFraction;
        const ahead = endpoint.pendingTokens + foreignTokens;
        const running = endpoint.estimatedCalls(now);
        const modelled = ahead / assumedReadingPace + running * delayPerRunningCall;
        // Measured waits correct the model, which knows only the number of other entries' calls, not their sizes.
        const pending = endpoint.pendingAge(call.urgency, now) * growingWait;
        const seen = Math.max(endpoint.recentWait(call.urgency, now), pending);
        const predictedWait = Math.max(modelled, seen) + Math.max(0, unreadTokens) / assumedReadingPace;
        return { endpoint, predictedWait, unreadTokens: Math.max(0, unreadTokens) };
    }

    private costOf(
        call: CallToPlace,
        placement: Placement,
        preferences: readonly HostedEndpoint[],
        now: Milliseconds,
    ): number {
        const { endpoint, predictedWait } = placement;
        const sharedTokens = this.unreadSharedTokens(call.traits.promptParts, endpoint);
        const rank = preferences.indexOf(endpoint);
        const weight = rank === 0 ? 0 : rank === 1 ? 1 : farEndpointWeight;
        const load = call.service.engine === undefined
            ? endpoint.estimatedCalls(now) / Math.max(1, endpoint.record.slots)
            : 0;
        return predictedWait
            + sharedTokens * weight * delayPerSharedToken
            + load
            + endpoint.record.warmUpTime / 10
            + (endpoint.mayBeLeaving(now) ? leavingDelay : 0)
            + endpoint.failureShare * 100 * delayPerFailurePercent
            + Math.max(0, endpoint.silence(now) - usualSilence);
    }

    /** Tokens of shared prompt segments that are presumably not in the endpoint's prefix cache. */
    private unreadSharedTokens(parts: readonly PromptPart[], endpoint: HostedEndpoint): number {
        const shared = parts.slice(0, -1);
        const total = shared.reduce((sum, part) => sum + part.tokens, 0);
        return total - this.prefixesOf(endpoint).heldTokens(shared);
    }

    private prefixesOf(endpoint: HostedEndpoint): PrefixRecord {
        const known = this.prefixes.get(endpoint) ?? new PrefixRecord();
        this.prefixes.set(endpoint, known);
        return known;
    }
}

/**
 * The two endpoints that all entries prefer for a shared prefix, by rendezvous hashing (Thaler and Ravishankar, 1998).
 */
function preferredEndpoints(
    parts: readonly PromptPart[],
    endpoints: readonly HostedEndpoint[],
): readonly HostedEndpoint[] {
    // The last segment is specific to the call.
    const shared = parts.at(-2);
    if (shared === undefined) {
        return [];
    }
    const hash = textHash(shared.id);
    const scores = new Map(endpoints.map(endpoint => [endpoint, mixBits(hash ^ endpoint.idHash)] as const));
    const ranked = [...endpoints].sort((a, b) => (scores.get(b) ?? 0) - (scores.get(a) ?? 0));
    return ranked.slice(0, 2);
}
