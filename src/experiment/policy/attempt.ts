import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Demand } from "./workload.js";

/** One attempt of a caller to have a demand answered. */
export interface Attempt {
    readonly demand: Demand;
    readonly request: PendingRequest;
    readonly onRefused: (retryAfter: Milliseconds) => void;
    readonly onAnswered: () => void;
    /** Output tokens made so far, over all times that it ran. */
    madeTokens: number;
    startedAt: Milliseconds;
    /** Time that it has run, preempted times left out. */
    serviceTime: Milliseconds;
    firstTokenAt: Milliseconds | undefined;
}
