import type { ResultCode } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import { emptySummary } from "./admission/poolSummary.js";
import type { PoolSummary } from "./admission/poolSummary.js";
import type { PendingRequest } from "./pendingRequest.js";

/** What an entry knows of a pool's capacity at one moment. */
export interface PoolCapacity {
    /** Requests that the pool's usable endpoints could start now, as seen by this entry. */
    readonly freeSlots: number;
    /** Requests that endpoints without a free slot would let wait inside them, ordered by tier; none where absent. */
    readonly urgentSlots?: number;
    /** Estimated output tokens a second that the pool still makes for this entry. */
    readonly tokensPerSecond: number;
    /** Estimated requests a second that the pool completes for this entry. */
    readonly requestsPerSecond: number;
}

/** A request that must be answered now with a refusal; no part of it was run. */
export interface Refusal {
    readonly request: PendingRequest;
    readonly code: ResultCode;
    /** When the caller should come back, in milliseconds from now. */
    readonly retryAfter: Milliseconds;
}

/** What a finished request really used. */
export interface RequestUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** From dispatch to the end, in milliseconds. */
    readonly serviceTime: Milliseconds;
}

/** A running request that is to be interrupted and given back to the queue. */
export interface Preemption {
    readonly request: PendingRequest;
    /** The tier for whose sake it is interrupted; always more important than the request's own. */
    readonly forTier: number;
}

/** The requests of one pool at one entry that wait for an endpoint, and the order in which they go. */
export abstract class AdmissionQueue {
    /** What other entries should know of this one; called once for each message. Baselines tell nothing. */
    summarize(pool: string, capacity: PoolCapacity, now: Milliseconds): PoolSummary;
    summarize(pool: string): PoolSummary {
        return emptySummary(pool);
    }

    /** Number of waiting requests. */
    abstract get length(): number;

    /** Takes a request in; returns the requests that must be refused for it, perhaps the request itself. */
    abstract offer(request: PendingRequest, capacity: PoolCapacity, now: Milliseconds): readonly Refusal[];

    /** Removes and returns the request that goes next, or undefined when none waits or may start. */
    abstract take(capacity: PoolCapacity, now: Milliseconds): PendingRequest | undefined;

    /** Removes a waiting request whose caller left or whose key was withdrawn; false when it does not wait. */
    abstract remove(request: PendingRequest): boolean;

    /** Returns the waiting requests that are refused because of the time that has passed. */
    abstract sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[];

    /** Records what a request that was taken really used. */
    abstract complete(request: PendingRequest, use: RequestUsage, now: Milliseconds): void;

    /** Releases a request that was taken and ended without use: its caller left or every endpoint failed. */
    abstract abandon(request: PendingRequest, now: Milliseconds): void;

    /** Takes back a request that was taken and preempted; it waits to be resumed and is never refused. */
    abstract requeue(request: PendingRequest, now: Milliseconds): void;

    /** Removes every waiting request of a withdrawn key; each must be answered at once. */
    abstract withdrawKey(team: string, keyName: string): readonly Refusal[];

    /** The running requests to interrupt now, so that more important ones meet their targets. */
    abstract choosePreemptions(capacity: PoolCapacity, now: Milliseconds): readonly Preemption[];
}
