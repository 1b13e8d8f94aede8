import type { UnixMilliseconds } from "../../util/clock.js";
import type { EndIncarnation } from "../usage/usageCommand.js";

/** What identifies a request that may run at most once. */
export interface ClaimKey {
    /** Team that sent it; empty on a route that is open to all. */
    readonly team: string;
    /** The caller's idempotency key, or the request's id where the caller sent none. */
    readonly idempotencyKey: string;
}

/** A request that an entry wants to run. */
export interface ClaimRequest extends ClaimKey {
    /** Id of the request at the entry, unique over all entries; a repeat of the proposal carries the same. */
    readonly requestId: string;
    /** Digest of method, path and body; another request under the same key is a conflict. */
    readonly requestDigest: string;
    /** When an unanswered claim becomes one of unknown outcome. */
    readonly timeoutAt: UnixMilliseconds;
}

/** The answer to a claimed request, kept for repeats. */
export interface StoredResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** What became of a claimed request. */
export interface ClaimResult extends ClaimKey {
    readonly requestId: string;
    readonly result:
        /** It was answered. */
        | { readonly kind: "answered"; readonly answer: StoredResponse; }
        /** It was answered, and the answer is too large to keep. */
        | { readonly kind: "answeredUnkept"; readonly status: number; }
        /** No byte left, or the endpoint said so: the key may be claimed again. */
        | { readonly kind: "notRun"; }
        /** It may have run; no answer will come. */
        | { readonly kind: "unknown"; };
}

/** Claims requests before a byte of them leaves the entry; one log entry may carry many. */
export interface ClaimBatch {
    readonly kind: "claimBatch";
    readonly entry: string;
    readonly incarnation: string;
    readonly claims: readonly ClaimRequest[];
    readonly at: UnixMilliseconds;
}

/** Reports what became of claimed requests. */
export interface ClaimResultBatch {
    readonly kind: "claimResultBatch";
    readonly results: readonly ClaimResult[];
    readonly at: UnixMilliseconds;
}

/** Lets the time in the state move on, so that claims end by timeout and retention. */
export interface ExpireClaims {
    readonly kind: "expireClaims";
    readonly at: UnixMilliseconds;
}

/** A command to the claims section of the replicated state; it also sees the end of incarnations. */
export type ClaimCommand = ClaimBatch | ClaimResultBatch | ExpireClaims | EndIncarnation;

/** What one claim led to. */
export type ClaimDecision =
    /** This incarnation may run the request. */
    | { readonly kind: "granted"; }
    /** Another proposal was first and has no answer yet. */
    | { readonly kind: "claimed"; readonly entry: string; readonly incarnation: string; }
    /** It ran; this is its answer. */
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    /** It ran, but its answer was too large to keep. */
    | { readonly kind: "answerNotKept"; readonly status: number; }
    /** It may have run. */
    | { readonly kind: "unknown"; }
    /** The key belongs to a request with another content. */
    | { readonly kind: "conflict"; }
    /** The incarnation was declared over; nothing was claimed. */
    | { readonly kind: "incarnationEnded"; }
    /** There is no room for another claim; nothing was claimed. */
    | { readonly kind: "full"; };

/** What a claim command led to: one decision for each claim of a batch, in its order. */
export type ClaimOutcome =
    | { readonly kind: "decided"; readonly decisions: readonly ClaimDecision[]; }
    | { readonly kind: "accepted"; };
