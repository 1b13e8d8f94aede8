import type { Milliseconds } from "../../util/clock.js";

/** A part of a prompt; parts with the same identity hold the same tokens. */
export interface PromptSegment {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller says of its call. */
export interface CallTraits {
    /** Identity of the call; undefined where the caller sent none. */
    readonly callId: string | undefined;
    /** How long the caller waits, counted from when it sent the call; undefined where it did not say. */
    readonly remainingTime: Milliseconds | undefined;
    readonly apiKey: string | undefined;
    readonly promptTokens: number;
    /** Output tokens at most. */
    readonly maximumOutputTokens: number;
    /** Parts of the prompt in order; the last one belongs to this call or its session. */
    readonly promptSegments: readonly PromptSegment[];
}

/** What an endpoint says in the head of its answer. */
export interface ResponseTraits {
    readonly status: number;
    /** Identity of the call that is answered; undefined where the endpoint did not say. */
    readonly callId: string | undefined;
    /** Whether the answer proves to be an endpoint's own. */
    readonly hasSignature: boolean;
    /** Whether the endpoint says that the call did not run. */
    readonly wasNotExecuted: boolean;
    /** Whether the address belongs to another endpoint than the one that was meant. */
    readonly isMisdirected: boolean;
    /** Whether the body was changed on its way by an encoding. */
    readonly hasContentEncoding: boolean;
    /** Whether the endpoint closes the connection: a leaving one always does, others now and then. */
    readonly closesConnection: boolean;
    readonly load: ReportedLoad | undefined;
}

/** The load that an endpoint reports of itself. */
export interface ReportedLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}
