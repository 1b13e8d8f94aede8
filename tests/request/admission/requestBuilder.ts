import type { PoolCapacity } from "../../../src/request/admissionQueue.js";
import type { PendingRequest } from "../../../src/request/pendingRequest.js";
import type { RequestClass } from "../../../src/version/manifest.js";

/** Capacity of a pool with one free slot that serves 10 requests and 1,000 output tokens per second. */
export const tenPerSecondCapacity: PoolCapacity = { freeSlots: 1, tokensPerSecond: 1_000, requestsPerSecond: 10 };

/** Returns a class with a total target of 10 s. */
export function classOf(tier: number, changes: Partial<RequestClass> = {}): RequestClass {
    return {
        name: `class-${tier}`,
        tier,
        weight: 1,
        target: { totalMilliseconds: 10_000 },
        preemptible: false,
        maximumOutputTokens: 100,
        ...changes,
    };
}

/** Returns a request with 100 prompt tokens that arrives at time 0. */
export function requestOf(
    id: string,
    requestClass: RequestClass,
    changes: Partial<PendingRequest> = {},
): PendingRequest {
    return {
        id,
        team: "team-a",
        keyName: "key-a",
        requestClass,
        pool: "pool",
        arrivedAt: 0,
        promptTokens: 100,
        maximumOutputTokens: 100,
        affinityDigest: "",
        idempotent: true,
        ...changes,
    };
}
