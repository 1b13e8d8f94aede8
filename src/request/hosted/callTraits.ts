import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";

/** A segment of a prompt; segments with the same id hold the same tokens, which an engine may have cached. */
export interface PromptSegment {
    readonly id: string;
    readonly tokens: number;
}

/** Properties of a call that the caller states in request headers. */
export interface CallTraits {
    /** Identifier that the caller gave the call; undefined if it sent none. */
    readonly callId: string | undefined;
    /** Time until the caller's deadline, as of when it sent the call; undefined if it stated none. */
    readonly remainingTime: Milliseconds | undefined;
    /** API key; undefined if the caller sent none. */
    readonly apiKey: string | undefined;
    readonly promptTokens: number;
    /** Maximum number of output tokens. */
    readonly maximumOutputTokens: number;
    /** Segments of the prompt in order; the last one is specific to this call or its session, and not shared. */
    readonly promptSegments: readonly PromptSegment[];
    /** Id of the last event that the caller has received of the stream; undefined unless it continues a stream. */
    readonly lastEventId: string | undefined;
    /** Identifier of the caller's attempt that received the first event of the stream; undefined if it names none. */
    readonly resumedCallId: string | undefined;
}

/** Properties of an endpoint's response, read from its status and headers. */
export interface ResponseTraits {
    readonly status: number;
    /** Identifier of the call that the response belongs to; undefined if the endpoint did not state it. */
    readonly callId: string | undefined;
    /** Whether the response carries the endpoint's signature header. */
    readonly hasSignature: boolean;
    /** Whether the endpoint states that it did not run the call. */
    readonly wasNotExecuted: boolean;
    /** Whether the address now belongs to another endpoint than the one that the call was routed to. */
    readonly isMisdirected: boolean;
    /** Whether the response has a content encoding, which an intermediary must have added. */
    readonly hasContentEncoding: boolean;
    /** Whether the endpoint closes the connection; one that is shutting down always does, others occasionally. */
    readonly closesConnection: boolean;
    /** When the endpoint takes calls again; undefined if it states nothing that can be read. */
    readonly retryAfter: StatedRetryAfter | undefined;
    /** Whether the endpoint states that it is about to stop. */
    readonly isLeaving: boolean;
    readonly load: ReportedLoad | undefined;
    readonly rateLimit: StatedRateLimit;
    /** Calls a second that the endpoint can reject for want of room without failing; undefined if it is not brittle. */
    readonly toleratedRejections: number | undefined;
}

/** When an endpoint takes calls again, as its response states it. */
export type StatedRetryAfter =
    | { readonly kind: "delay"; readonly duration: Milliseconds; }
    | { readonly kind: "date"; readonly unixTime: UnixMilliseconds; };

/** What a response states about the rate of calls that its endpoint takes from all entries together. */
export type StatedRateLimit =
    | { readonly kind: "unlimited"; }
    /** A limit is stated, but its value cannot be parsed. */
    | { readonly kind: "malformed"; }
    /** `isAmbiguous`: the response states several values, of which this is the smallest valid one. */
    | { readonly kind: "limited"; readonly callsPerSecond: number; readonly isAmbiguous: boolean; };

/** Load that an endpoint reports in a response header, in numbers of calls. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}
