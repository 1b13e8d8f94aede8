import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
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
}

/** What a caller received. */
export interface ReceivedStream {
    /** 0 if no response came. */
    readonly status: number;
    /** Code of the failure in the body of a refusal. */
    readonly code: string | undefined;
    readonly retryAfter: number | undefined;
    /** Data of the events, in their order. */
    readonly events: readonly string[];
    readonly isComplete: boolean;
}

/** Makes one call for a stream at an entry. */
export function callForStream(address: string, call: StreamCall): Promise<ReceivedStream> {
    const { callId, path = "/summaries/a", apiKey = "key-1", lastEventId, resumes, leaveAfter = Infinity } = call;
    return new Promise(resolve => {
        const request = httpRequest({
            ...splitAddress(address),
            agent: false,
            method: "POST",
            path,
            headers: {
                "host": "calls.example",
                "api-key": apiKey,
                "gullhall-attempt-id": callId,
                "gullhall-deadline-remaining": "5000",
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
        request.end();
    });
}
