import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { FencingToken } from "../replicatedLog/commandLog.js";

/** Headers and body of a call; built only after the lease has been checked. */
export interface CallContent {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
}

/** A call that only the leader may make. */
export interface LeasedCall {
    /** Host and port. */
    readonly address: string;
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    /** Builds the content for a fencing token. */
    readonly content: (token: FencingToken) => CallContent;
}

/** A response whose body has been read completely. */
export interface CallResponse {
    readonly status: number;
    /** Delay requested by the header `retry-after`; undefined if it is absent or not a number of seconds. */
    readonly retryAfter: Milliseconds | undefined;
    /** The body parsed as JSON, or undefined if it is empty. */
    readonly body: unknown;
}

/** Makes calls to the platform and engines, each within the leader lease of this process. */
export abstract class LeasedCaller {
    /**
     * Makes a call; the lease is checked in the same turn of the event loop in which the request is written.
     *
     * Fails with `leaseLost` if nothing was written because the lease does not last long enough, else with
     * `callFailed`, `callTimedOut` or `platformAnswerMalformed`; after these the call may have been executed.
     *
     * @param signal Cancels the call and destroys its connection.
     */
    abstract call(call: LeasedCall, signal: AbortSignal): Promise<Result<CallResponse, Failure>>;
}

/** Content of a call with a JSON body. */
export function jsonContent(value: unknown): CallContent {
    return {
        headers: { "content-type": "application/json" },
        body: Buffer.from(JSON.stringify(value), "utf8"),
    };
}

/** Content of a call without a body. */
export const emptyContent: CallContent = { headers: {}, body: undefined };
