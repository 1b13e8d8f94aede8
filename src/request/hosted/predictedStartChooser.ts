import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { mixBits, textHash } from "../routing/textHash.js";
import type { PromptPart } from "./callTraits.js";
import type { CallToPlace, Placement } from "./endpointChooser.js";
import { EndpointChooser } from "./endpointChooser.js";
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

/** Part of an unread shared prompt that is overlooked at its preferred endpoint, so that equal prefixes meet there. */
const preferenceWeight = 0.8;

/** Chooses the endpoint that is expected to begin first: queue, prompt to be read, and signs of trouble. */
export class PredictedStartChooser extends EndpointChooser {
    private readonly prefixes = new WeakMap<HostedEndpoint, PrefixRecord>();
    private readonly serviceTimes = new Map<string, Milliseconds>();

    override choose(
        call: CallToPlace,
        candidates: readonly HostedEndpoint[],
        now: Milliseconds,
    ): Placement | undefined {
        const open = candidates.filter(endpoint => !call.excluded.has(endpoint));
        const healthy = open.filter(endpoint => !endpoint.isSetAside(now));
        const preferred = preferredEndpoint(call.traits.promptParts, healthy);
        let best: Placement | undefined;
        let bestCost = Infinity;
        for (const endpoint of healthy.length > 0 ? healthy : open) {
            const placement = this.predict(call, endpoint, now);
            const cost = this.costOf(call, placement, endpoint === preferred, now);
            if (cost < bestCost) {
                best = placement;
                bestCost = cost;
            }
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
