import type { PendingRequest } from "../../request/pendingRequest.js";
import type { Milliseconds } from "../../util/clock.js";
import type { LogicalRequest } from "./arrivalProcess.js";

/** One attempt of a caller to complete a logical request at an entry. */
export interface Attempt {
    readonly logicalRequest: LogicalRequest;
    readonly request: PendingRequest;
    readonly onRefused: (retryAfter: Milliseconds) => void;
    readonly onCompleted: () => void;
    /** Output tokens generated so far, including those generated before preemptions. */
    generatedTokens: number;
    /** Start of the latest run. */
    startedAt: Milliseconds;
    /** Total running time, without the time spent preempted. */
    serviceTime: Milliseconds;
    firstTokenAt: Milliseconds | undefined;
}
