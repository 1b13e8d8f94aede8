import type { ResultCode } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import { emptySummary } from "./admission/poolSummary.js";
import type { PoolSummary } from "./admission/poolSummary.js";
import type { PendingRequest } from "./pendingRequest.js";

/** Capacity of a pool at one moment, as estimated by one entry. */
export interface PoolCapacity {
    /** Number of requests that the pool's usable endpoints could start now. */
    readonly freeSlots: number;
    /** Number of requests that may wait at endpoints without free slots, which serve them by tier; absent means 0. */
    readonly urgentSlots?: number;
    /** Estimated output tokens per second that the pool generates for this entry; 0 if unknown. */
    readonly tokensPerSecond: number;
    /** Estimated requests per second that the pool completes for this entry; 0 if unknown. */
    readonly requestsPerSecond: number;
}

/** A request to refuse now; no part of it has run, unless it was preempted before its key was withdrawn. */
export interface Refusal {
    readonly request: PendingRequest;
    readonly code: ResultCode;
    /** Time after which the caller may retry, in milliseconds from now. */
    readonly retryAfter: Milliseconds;
}

/** Actual resource usage of a finished request. */
export interface RequestUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Time from dispatch to the end, in milliseconds. */
    readonly serviceTime: Milliseconds;
}

/** A running request to preempt and return to the queue. */
export interface Preemption {
    readonly request: PendingRequest;
    /** The tier that it is preempted for; higher than the request's own tier, hence a smaller number. */
    readonly forTier: number;
}

/** Queue of the requests of one pool at one entry that wait for an endpoint. */
export abstract class AdmissionQueue {
    /** Returns the summary to send to the other entries, once per message; baseline queues return an empty one. */
    summarize(pool: string, capacity: PoolCapacity, now: Milliseconds): PoolSummary;
    summarize(pool: string): PoolSummary {
        return emptySummary(pool);
    }

    /** Number of waiting requests. */
    abstract get length(): number;

    /** Adds a request; returns the requests to refuse because of it, which may include the request itself. */
    abstract offer(request: PendingRequest, capacity: PoolCapacity, now: Milliseconds): readonly Refusal[];

    /** Removes and returns the next request; undefined if none waits or may start. */
    abstract take(capacity: PoolCapacity, now: Milliseconds): PendingRequest | undefined;

    /** Removes a waiting request, such as one whose caller has disconnected; returns false if it is not waiting. */
    abstract remove(request: PendingRequest): boolean;

    /** Removes and returns the waiting requests that have waited too long or must now be shed; called periodically. */
    abstract sweep(capacity: PoolCapacity, now: Milliseconds): readonly Refusal[];

    /** Records that a taken request completed, with its actual usage. */
    abstract complete(request: PendingRequest, usage: RequestUsage, now: Milliseconds): void;

    /** Releases a taken request that ended without usage: its caller disconnected or all endpoints failed. */
    abstract abandon(request: PendingRequest, now: Milliseconds): void;

    /** Returns a preempted request to the queue; it waits to resume and is refused only if its key is withdrawn. */
    abstract requeue(request: PendingRequest, now: Milliseconds): void;

    /** Removes and returns all waiting requests of a withdrawn key; each must be refused at once. */
    abstract withdrawKey(team: string, keyName: string): readonly Refusal[];

    /** Returns the running requests to preempt now so that requests of higher tiers meet their targets. */
    abstract choosePreemptions(capacity: PoolCapacity, now: Milliseconds): readonly Preemption[];
}
