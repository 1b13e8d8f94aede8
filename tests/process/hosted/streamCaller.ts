import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { splitAddress } from "../../../src/util/socketAddress.js";

/** Headers of a call that begins or continues a stream. */
export interface StreamCall {
    readonly callId: string;
    readonly path?: string;
    readonly apiKey?: string;
    /** The call continues a stream behind this event. */
    readonly lastEventId?: number;
    /** The attempt that brought the first event of the stream. */
    readonly resumes?: string;
    /** Leaves after this number of events. */
    readonly leaveAfter?: number;
    /** Time until the caller's deadline, in milliseconds; 5,000 by default. */
    readonly remainingTime?: number;
    /** An open connection on which the call is sent, and that may be kept; by default, the call opens its own. */
    readonly connection?: Socket | undefined;
    /** The call has a body that is complete once this has resolved. */
    readonly bodyEnd?: Promise<unknown> | undefined;
}

/** Body of a call that has one. */
const body = "draft";

/** What a caller received. */
export interface ReceivedStream {
    /** 0 if no response came. */
    readonly status: number;
    /** Code of the failure in the body of a refusal. */
    readonly code: string | undefined;
    readonly retryAfter: number | undefined;
    /** Whether the response says that its connection will be closed. */
    readonly closesConnection: boolean;
    /** What the header `x-outcome` states. */
    readonly outcome: string | undefined;
    /** Data of the events, in their order. */
    readonly events: readonly string[];
    readonly isComplete: boolean;
}

/** Makes one call for a stream at an entry. */
export function callForStream(address: string, call: StreamCall): Promise<ReceivedStream> {
    const { callId, path = "/summaries/a", apiKey = "key-1", lastEventId, resumes, leaveAfter = Infinity } = call;
    const { remainingTime = 5_000, connection, bodyEnd } = call;
    return new Promise(resolve => {
        const request = httpRequest({
            ...splitAddress(address),
            ...connection === undefined ? { agent: false } : { createConnection: () => connection },
            method: "POST",
            path,
            headers: {
                "host": "calls.example",
                "api-key": apiKey,
                "gullhall-attempt-id": callId,
                "gullhall-deadline-remaining": String(remainingTime),
                ...connection === undefined ? {} : { connection: "keep-alive" },
                ...bodyEnd === undefined ? {} : { "content-length": String(body.length) },
                ...lastEventId === undefined ? {} : { "last-event-id": String(lastEventId) },
                ...resumes === undefined ? {} : { resumes },
            },
        });
        let response: IncomingMessage | undefined;
        let text = "";
        const end = (): void => {
            const status = response?.statusCode ?? 0;
            const retryAfter = response?.headers["retry-after"];
            resolve({
                status,
                code: /GH\d+/.exec(text)?.[0],
                retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
                closesConnection: response?.headers.connection?.toLowerCase() === "close",
                outcome: response?.headers["x-outcome"]?.toString(),
                events: [...text.matchAll(/^data: (.*)$/gm)].map(([, data = ""]) => data),
                isComplete: response?.complete ?? false,
            });
        };
        request.once("response", message => {
            response = message;
            message.on("data", (bytes: Buffer) => {
                text += bytes.toString();
                if (text.split("\n\n").length > leaveAfter) {
                    request.destroy();
                }
            });
            message.on("error", () => undefined);
            message.once("close", end);
        });
        request.once("error", () => {
            if (response === undefined) {
                end();
            }
        });
        if (connection?.destroyed === true) {
            request.destroy();
            end();
        }
        else if (bodyEnd === undefined) {
            request.end();
        }
        else {
            request.flushHeaders();
            void bodyEnd.then(() => request.end(body));
        }
    });
}
