import { Agent, request as httpRequest } from "node:http";
import { httpCall } from "../connection/httpCall.js";
import type { Milliseconds } from "../util/clock.js";
import { splitAddress } from "../util/socketAddress.js";

/** Longest time for one call, in milliseconds. */
const callTimeout: Milliseconds = 15_000;

/** A call of the tour. */
export interface TourCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly key?: string;
    readonly body?: object;
    readonly headers?: Readonly<Record<string, string>>;
}

/** An answer as the tour looks at it. */
export interface TourAnswer {
    readonly status: number;
    readonly text: string;
}

/** An answer that came over a connection which stays open. */
export interface OpenAnswer {
    readonly status: number;
    /** The caller's own port; equal ports mean the same connection. */
    readonly localPort: number | undefined;
}

/** Makes a call over a connection of its own; rejects when no answer comes. */
export async function send(call: TourCall): Promise<TourAnswer> {
    const answer = await httpCall({
        address: call.address,
        method: call.method,
        path: call.path,
        headers: headersOf(call),
        ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
        timeout: callTimeout,
    });
    if (answer.err) {
        throw new Error(`${call.method} ${call.path}: ${answer.val}`);
    }
    const { status, body } = answer.val;
    return { status, text: body.toString("utf8") };
}

/** A caller that sends all its calls over one open connection. */
export class OpenConnection implements Disposable {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

    /** Makes a call; rejects when no answer comes. */
    send(call: TourCall): Promise<OpenAnswer> {
        return new Promise((resolve, reject) => {
            const outgoing = httpRequest({
                ...splitAddress(call.address),
                agent: this.agent,
                method: call.method,
                path: call.path,
                headers: headersOf(call),
                timeout: callTimeout,
            });
            outgoing.once("error", reject);
            outgoing.once("response", message => {
                const { localPort } = message.socket;
                message.resume();
                message.once("end", () => {
                    resolve({ status: message.statusCode ?? 0, localPort });
                });
            });
            outgoing.end(call.body === undefined ? undefined : JSON.stringify(call.body));
        });
    }

    [Symbol.dispose](): void {
        this.agent.destroy();
    }
}

function headersOf({ key, headers }: TourCall): Readonly<Record<string, string>> {
    const common = { "content-type": "application/json", ...headers };
    return key === undefined ? common : { ...common, authorization: `Bearer ${key}` };
}
