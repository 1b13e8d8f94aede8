import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import type { CallContext } from "./callContext.js";
import type { ResponseTraits } from "./callTraits.js";

/** Status code 503 (Service Unavailable): the endpoint rejects the call, and may state when it takes the next one. */
const unavailableStatus = 503;

/**
 * Records what an endpoint states about itself in the headers of a response, whichever entry has received it.
 *
 * @param isOwn Whether the response certainly belongs to the call that was sent.
 * @param now Monotonic time.
 */
export function recordStatements(
    endpoint: HostedEndpoint,
    traits: ResponseTraits,
    isOwn: boolean,
    context: CallContext,
    now: Milliseconds,
): void {
    if (isOwn && traits.status === unavailableStatus && traits.retryAfter !== undefined) {
        const rest = restOf(traits.retryAfter, context);
        endpoint.recordRest(rest, now);
        context.eventLog.write("endpointRests", { endpoint: endpoint.id, duration: Math.round(rest) });
    }
    recordLeaving(endpoint, traits, context, now);
    if (traits.load !== undefined) {
        endpoint.recordLoad(traits.load, now);
    }
    recordBrittleness(endpoint, traits, context);
    context.rateLimits.recordStatement(endpoint.id, traits.rateLimit, now);
}

function restOf(retryAfter: NonNullable<ResponseTraits["retryAfter"]>, { clock }: CallContext): Milliseconds {
    return retryAfter.kind === "delay" ? retryAfter.duration : Math.max(0, retryAfter.unixTime - clock.unixNow());
}

/** Records that an endpoint is about to stop; a misdirected call was answered by another endpoint. */
function recordLeaving(
    endpoint: HostedEndpoint,
    traits: ResponseTraits,
    context: CallContext,
    now: Milliseconds,
): void {
    if (traits.isLeaving && !traits.isMisdirected && !endpoint.isLeaving) {
        endpoint.recordLeaving();
        context.fleet.leavingRecord.add(endpoint.record, now);
        context.eventLog.write("endpointLeavingStated", { endpoint: endpoint.id });
    }
}

function recordBrittleness(
    endpoint: HostedEndpoint,
    { toleratedRejections }: ResponseTraits,
    { eventLog }: CallContext,
): void {
    if (endpoint.isBrittle !== (toleratedRejections !== undefined)) {
        eventLog.write("endpointBrittlenessStated", { endpoint: endpoint.id, toleratedRejections });
    }
    endpoint.recordBrittleness(toleratedRejections);
}
