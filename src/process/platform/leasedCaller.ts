import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { FencingToken } from "../replicatedLog/commandLog.js";

/** What is written to the other side; it is made only once the lease is certain. */
export interface CallContent {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array | undefined;
}

/** One call that only the leader may make. */
export interface LeasedCall {
    /** Host and port. */
    readonly address: string;
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    /** Makes the content for a token. */
    readonly content: (token: FencingToken) => CallContent;
}

/** An answer whose body has been read in full. */
export interface CallAnswer {
    readonly status: number;
    /** What the header `retry-after` asks for, where it was sent in seconds. */
    readonly retryAfter: Milliseconds | undefined;
    /** The body read as JSON, or undefined when it is empty. */
    readonly body: unknown;
}

/** Makes calls towards the platform and engines, each within the lease of this process. */
export abstract class LeasedCaller {
    /**
     * Makes a call; the lease is checked in the same turn of the event loop in which the call is written.
     *
     * Fails with `leaseLost` when nothing was written, else with `callFailed`, `callTimedOut` or
     * `platformAnswerMalformed`; after these the call may have been executed.
     *
     * @param signal Ends the call and destroys its connection.
     */
    abstract call(call: LeasedCall, signal: AbortSignal): Promise<Result<CallAnswer, Failure>>;
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
