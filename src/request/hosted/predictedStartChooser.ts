import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { mixBits, textHash } from "../routing/textHash.js";
import type { PromptPart } from "./callTraits.js";
import type { CallToPlace, Placement } from "./endpointChooser.js";
import { EndpointChooser } from "./endpointChooser.js";
import { LongPromptPartition } from "./longPromptPartition.js";
import type { EngineGroup } from "./longPromptPartition.js";
import { PrefixRecord } from "./prefixRecord.js";

/** Tokens that an engine reads in a millisecond, until its own pace is known better. */
const assumedReadingPace = 50;

/** Time that a call of a plain service takes, until it is known better. */
const assumedServiceTime: Milliseconds = 50;

/** Weight of the newest call in the mean service time. */
const serviceTimeWeight = 0.05;

/** Delay that each call under way adds for the next one at an engine: its share of a batch step. */
const delayPerRunningCall: Milliseconds = 2;

/** Prompt length that waiting calls of other entries are taken to have, in tokens. */
const assumedPromptTokens = 1_000;

/** Penalty for each failure in a hundred recent calls. */
const delayPerFailurePercent: Milliseconds = 10;

/** Silence of an endpoint with calls under way that is not yet held against it. */
const usualSilence: Milliseconds = 400;

/** Time that an engine spends on each output token of a call, with the batch sizes at which engines work well. */
const decodingTimePerToken: Milliseconds = 0.3;

/** Wait in its own group that a call accepts before it goes to an engine of the other group. */
const crossingDelay: Readonly<Record<EngineGroup, Milliseconds>> = { longPrompts: 1_500, shortPauses: 600 };

/** Part of an unread shared prompt that is overlooked at its preferred endpoint, so that equal prefixes meet there. */
const preferenceWeight = 0.8;

/** Chooses the endpoint that is expected to begin first: queue, prompt to be read, and signs of trouble. */
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
        const preferred = preferredEndpoint(call.traits.promptParts, group);
        let best: Placement | undefined;
        let bestCost = Infinity;
        for (const endpoint of usable) {
            const placement = this.predict(call, endpoint, now);
            const crossing = engines === undefined || engines.members.has(endpoint) ? 0 : crossingDelay[engines.group];
            const cost = crossing + this.costOf(call, placement, endpoint === preferred, now);
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

    override noteBegun(call: CallToPlace, placement: Placement, waited: Milliseconds): void {
        if (call.service.engine !== undefined) {
            return;
        }
        const ownTime = Math.max(1, waited - placement.predictedWait);
        const known = this.serviceTimes.get(call.service.name) ?? assumedServiceTime;
        this.serviceTimes.set(call.service.name, known + serviceTimeWeight * (ownTime - known));
    }

    /** The group of engines that suits a call, and its members. */
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
        const foreignTokens = endpoint.estimatedForeignWaiting(now) * assumedPromptTokens;
        const ahead = endpoint.pendingTokens + foreignTokens;
        const running = endpoint.estimatedCalls(now);
        const predictedWait = (ahead + Math.max(0, unreadTokens)) / assumedReadingPace + running * delayPerRunningCall;
        return { endpoint, predictedWait, unreadTokens: Math.max(0, unreadTokens) };
    }

    private costOf(call: CallToPlace, placement: Placement, isPreferred: boolean, now: Milliseconds): number {
        const { endpoint, predictedWait, unreadTokens } = placement;
        const preference = isPreferred ? preferenceWeight * unreadTokens / assumedReadingPace : 0;
        const load = call.service.engine === undefined
            ? endpoint.estimatedCalls(now) / Math.max(1, endpoint.record.slots)
            : 0;
        return predictedWait
            - preference
            + load
            + endpoint.record.warmUpTime / 10
            + endpoint.failureShare * 100 * delayPerFailurePercent
            + Math.max(0, endpoint.silence(now) - usualSilence);
    }

    private prefixesOf(endpoint: HostedEndpoint): PrefixRecord {
        const known = this.prefixes.get(endpoint) ?? new PrefixRecord();
        this.prefixes.set(endpoint, known);
        return known;
    }
}

/** The endpoint that every entry prefers for a shared prompt, by rendezvous hashing (Thaler and Ravishankar, 1998). */
function preferredEndpoint(
    parts: readonly PromptPart[],
    endpoints: readonly HostedEndpoint[],
): HostedEndpoint | undefined {
    // The last part belongs to the call alone.
    const shared = parts.at(-2);
    if (shared === undefined) {
        return undefined;
    }
    const hash = textHash(shared.id);
    let best: HostedEndpoint | undefined;
    let bestScore = -1;
    for (const endpoint of endpoints) {
        const score = mixBits(hash ^ textHash(endpoint.id));
        if (score > bestScore) {
            best = endpoint;
            bestScore = score;
        }
    }
    return best;
}
