import type { UnixMilliseconds } from "../../util/clock.js";
import type { EndIncarnation } from "../usage/usageCommand.js";

/** Identifies a request that may run at most once. */
export interface ClaimKey {
    /** Name of the team that sent the request; empty on a route without authentication. */
    readonly team: string;
    /** The caller's idempotency key, or the request's id if the caller sent none. */
    readonly idempotencyKey: string;
}

/** A request that an entry asks to run. */
export interface ClaimRequest extends ClaimKey {
    /** Id of the request, unique across all entries; a proposal that is sent again carries the same id. */
    readonly requestId: string;
    /** Digest of method, path and body; a request with the same key and another digest is a conflict. */
    readonly requestDigest: string;
    /** Time at which an unsettled claim takes the state `unknown`. */
    readonly timeoutAt: UnixMilliseconds;
}

/** The response to a claimed request, stored for repeats. */
export interface StoredResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** The result of a claimed request. */
export interface ClaimResult extends ClaimKey {
    readonly requestId: string;
    readonly result:
        /** The request has a response. */
        | { readonly kind: "answered"; readonly answer: StoredResponse; }
        /** The request has a response that is too large to store. */
        | { readonly kind: "answeredUnkept"; readonly status: number; }
        /** No byte was sent, or the endpoint reported that it did not run the request: the key may be claimed again. */
        | { readonly kind: "notRun"; }
        /** The request may have run; its response was lost. */
        | { readonly kind: "unknown"; };
}

/** Claims requests before the entry sends any byte of them; one log entry may carry many claims. */
export interface ClaimBatch {
    readonly kind: "claimBatch";
    readonly entry: string;
    readonly incarnation: string;
    readonly claims: readonly ClaimRequest[];
    readonly at: UnixMilliseconds;
}

/** Reports the results of claimed requests. */
export interface ClaimResultBatch {
    readonly kind: "claimResultBatch";
    readonly results: readonly ClaimResult[];
    readonly at: UnixMilliseconds;
}

/** Advances the time of the state, so that claims time out and settled claims expire. */
export interface ExpireClaims {
    readonly kind: "expireClaims";
    readonly at: UnixMilliseconds;
}

/** A command to the claims section of the replicated state, which also applies the end of incarnations. */
export type ClaimCommand = ClaimBatch | ClaimResultBatch | ExpireClaims | EndIncarnation;

/** The decision on one claim. */
export type ClaimDecision =
    /** This incarnation may run the request. */
    | { readonly kind: "granted"; }
    /** Another proposal claimed the key first and is not settled yet. */
    | { readonly kind: "claimed"; readonly entry: string; readonly incarnation: string; }
    /** The request ran; this is its response. */
    | { readonly kind: "answered"; readonly answer: StoredResponse; }
    /** The request ran, but its response is not stored because of its size or the limit on all stored bodies. */
    | { readonly kind: "answerNotKept"; readonly status: number; }
    /** The request may have run. */
    | { readonly kind: "unknown"; }
    /** The key belongs to a request with another digest. */
    | { readonly kind: "conflict"; }
    /** The incarnation is not registered or has ended; nothing was claimed. */
    | { readonly kind: "incarnationEnded"; }
    /** The table has reached its maximum number of claims; nothing was claimed. */
    | { readonly kind: "full"; };

/** The outcome of a claim command; for a batch of claims, one decision per claim in the order of the batch. */
export type ClaimOutcome =
    | { readonly kind: "decided"; readonly decisions: readonly ClaimDecision[]; }
    | { readonly kind: "accepted"; };
