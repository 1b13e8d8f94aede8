import { match } from "ts-pattern";
import { z } from "zod";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { emptyContent, jsonContent } from "./leasedCaller.js";
import type { CallResponse, LeasedCall } from "./leasedCaller.js";
import type { ActAnswer, IdentifiedAct, PlatformAct, StartEndpoints } from "./platformCommand.js";

/** Addresses of the platform's interfaces. */
export interface PlatformAddresses {
    /** Host and port of the order interface of a failure domain. */
    readonly orderAddressOf: (failureDomain: string) => string;
    /** Host and port of the weight store, the VM list and the usage reports. */
    readonly common: string;
}

/** Progress of an act as derived from a response. */
export type ActProgress =
    | { readonly kind: "answered"; readonly answer: ActAnswer; }
    /** The act was accepted and is in progress; poll again. */
    | { readonly kind: "running"; }
    /** The act may not have been accepted; repeat it under the same id, after `retryAfter` if it is defined. */
    | { readonly kind: "repeat"; readonly failure: Failure; readonly retryAfter: Milliseconds | undefined; };

const grantedSchema = z.object({
    endpoint: z.string().min(1).max(256),
    address: z.string().min(1).max(256),
    failureDomain: z.string(),
    pool: z.string(),
    cheap: z.boolean(),
});

const orderResponseSchema = z.object({
    orderId: z.string(),
    granted: z.array(grantedSchema).max(10_000).default([]),
    unavailable: z.int().min(0).default(0),
});

const progressSchema = z.object({
    state: z.enum(["done", "running", "failed"]),
    orderId: z.string().optional(),
    loadId: z.string().optional(),
    reason: z.string().max(1_000).optional(),
});

const fencingSchema = z.object({ newestFencingNumber: z.int() });

/** Builds the call that carries out an act; a repeat differs only in the fencing number. */
export function buildActCall(identified: IdentifiedAct, addresses: PlatformAddresses): LeasedCall {
    const { actId, act } = identified;
    return match(act)
        .with({ kind: "startEndpoints" }, ({ failureDomain, pool, engineKind, cheap, count }): LeasedCall => ({
            address: addresses.orderAddressOf(failureDomain),
            method: "POST",
            path: `/failure-domains/${encodeURIComponent(failureDomain)}/orders`,
            content: ({ fencingNumber }) =>
                jsonContent({ orderId: actId, fencingNumber, kind: "start", pool, engineKind, cheap, count }),
        }))
        .with({ kind: "stopEndpoint" }, ({ failureDomain, endpoint }): LeasedCall => ({
            address: addresses.orderAddressOf(failureDomain),
            method: "POST",
            path: `/failure-domains/${encodeURIComponent(failureDomain)}/orders`,
            content: ({ fencingNumber }) => jsonContent({ orderId: actId, fencingNumber, kind: "stop", endpoint }),
        }))
        .with({ kind: "orderEngine" }, ({ address, order }): LeasedCall => ({
            address,
            method: "POST",
            path: "/v1/orders",
            content: ({ fencingNumber }) => jsonContent({ orderId: actId, fencingNumber, action: order }),
        }))
        .with({ kind: "loadWeights" }, ({ endpoint, model, version }): LeasedCall => ({
            address: addresses.common,
            method: "POST",
            path: "/weight-loads",
            content: () => jsonContent({ loadId: actId, endpoint, model, version }),
        }))
        .exhaustive();
}

/** Builds the call that queries the progress of an act, without side effects. */
export function buildPollCall(identified: IdentifiedAct, addresses: PlatformAddresses): LeasedCall {
    const { actId, act } = identified;
    const id = encodeURIComponent(actId);
    const common = { method: "GET", content: () => emptyContent } as const;
    return match(act)
        .with({ kind: "orderEngine" }, ({ address }) => ({ ...common, address, path: `/v1/orders/${id}` }))
        .with({ kind: "loadWeights" }, () => ({ ...common, address: addresses.common, path: `/weight-loads/${id}` }))
        .otherwise(({ failureDomain }) => ({
            ...common,
            address: addresses.orderAddressOf(failureDomain),
            path: `/failure-domains/${encodeURIComponent(failureDomain)}/orders/${id}`,
        }));
}

/** Derives the progress of an act from a response; never throws, whatever the body contains. */
export function readProgress(identified: IdentifiedAct, call: LeasedCall, response: CallResponse): ActProgress {
    if (response.status === 409) {
        return repeat(staleFencingFailure(call, response));
    }
    const isMissing = response.status === 404 || response.status === 410;
    if (isMissing && identified.act.kind === "stopEndpoint") {
        return { kind: "answered", answer: { kind: "done" } };
    }
    if (response.status >= 400 && response.status < 500 && ![404, 408, 425, 429].includes(response.status)) {
        return { kind: "answered", answer: { kind: "failed", reason: `status ${response.status}` } };
    }
    if (response.status < 200 || response.status > 299) {
        const refused = failure("platformRefused", { address: call.address, status: response.status });
        return { kind: "repeat", failure: refused, retryAfter: response.retryAfter };
    }
    const { actId, act } = identified;
    return match(act)
        .with({ kind: "startEndpoints" }, start => readOrder(actId, start, call, response))
        .with({ kind: "stopEndpoint" }, stop => readOrder(actId, stop, call, response))
        .otherwise(() => readState(actId, call, response));
}

function staleFencingFailure(call: LeasedCall, response: CallResponse): Failure {
    const parsed = fencingSchema.safeParse(response.body);
    const newest = parsed.success ? parsed.data.newestFencingNumber : "unknown";
    return failure("fencingNumberStale", { address: call.address, newest, own: "this leader's" });
}

function readOrder(actId: string, act: PlatformAct, call: LeasedCall, response: CallResponse): ActProgress {
    const parsed = orderResponseSchema.safeParse(response.body);
    if (!parsed.success) {
        return malformed(call, z.prettifyError(parsed.error));
    }
    if (parsed.data.orderId !== actId) {
        return malformed(call, "the order id does not match");
    }
    if (act.kind !== "startEndpoints") {
        return { kind: "answered", answer: { kind: "done" } };
    }
    const granted = parsed.data.granted.filter(endpoint => matchesOrder(endpoint, act)).slice(0, act.count);
    return { kind: "answered", answer: { kind: "granted", granted, unavailable: act.count - granted.length } };
}

/** Whether an endpoint matches the order. Others are ignored here; VM reconciliation reports them as not ordered. */
function matchesOrder(endpoint: z.output<typeof grantedSchema>, act: StartEndpoints): boolean {
    return endpoint.failureDomain === act.failureDomain && endpoint.pool === act.pool && endpoint.cheap === act.cheap;
}

function readState(actId: string, call: LeasedCall, response: CallResponse): ActProgress {
    const parsed = progressSchema.safeParse(response.body);
    if (!parsed.success) {
        return malformed(call, z.prettifyError(parsed.error));
    }
    const { state, orderId, loadId, reason } = parsed.data;
    if ((orderId ?? loadId) !== actId) {
        return malformed(call, "the act id does not match");
    }
    return match(state)
        .with("done", (): ActProgress => ({ kind: "answered", answer: { kind: "done" } }))
        .with("running", (): ActProgress => ({ kind: "running" }))
        .with("failed", (): ActProgress => ({
            kind: "answered",
            answer: { kind: "failed", reason: reason ?? "no reason was given" },
        }))
        .exhaustive();
}

function malformed(call: LeasedCall, reason: string): ActProgress {
    return repeat(failure("platformAnswerMalformed", { address: call.address, reason }));
}

function repeat(reason: Failure): ActProgress {
    return { kind: "repeat", failure: reason, retryAfter: undefined };
}
