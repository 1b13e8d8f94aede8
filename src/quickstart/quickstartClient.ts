import { Agent, request as httpRequest } from "node:http";
import { httpCall } from "../connection/httpCall.js";
import type { Milliseconds } from "../util/clock.js";
import { splitAddress } from "../util/socketAddress.js";

/** Timeout of one request, in milliseconds. */
const requestTimeout: Milliseconds = 15_000;

/** A request of the quickstart. */
export interface HttpRequestOptions {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly key?: string;
    readonly body?: object;
    readonly headers?: Readonly<Record<string, string>>;
}

/** A response with its body as text. */
export interface TextResponse {
    readonly status: number;
    readonly text: string;
}

/** A response that was received over a keep-alive connection. */
export interface KeepAliveResponse {
    readonly status: number;
    /** Local port of the connection; responses with the same port were received over the same connection. */
    readonly localPort: number | undefined;
}

/** Sends a request over a new connection; rejects if there is no response. */
export async function sendRequest(options: HttpRequestOptions): Promise<TextResponse> {
    const response = await httpCall({
        address: options.address,
        method: options.method,
        path: options.path,
        headers: headersOf(options),
        ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
        timeout: requestTimeout,
    });
    if (response.err) {
        throw new Error(`${options.method} ${options.path}: ${response.val}`);
    }
    const { status, body } = response.val;
    return { status, text: body.toString("utf8") };
}

/** Client that sends all its requests over one keep-alive connection. */
export class KeepAliveClient implements Disposable {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

    /** Sends a request; rejects if there is no response. */
    send(options: HttpRequestOptions): Promise<KeepAliveResponse> {
        return new Promise((resolve, reject) => {
            const outgoing = httpRequest({
                ...splitAddress(options.address),
                agent: this.agent,
                method: options.method,
                path: options.path,
                headers: headersOf(options),
                timeout: requestTimeout,
            });
            outgoing.once("error", reject);
            outgoing.once("response", message => {
                const { localPort } = message.socket;
                message.resume();
                message.once("end", () => {
                    resolve({ status: message.statusCode ?? 0, localPort });
                });
            });
            outgoing.end(options.body === undefined ? undefined : JSON.stringify(options.body));
        });
    }

    [Symbol.dispose](): void {
        this.agent.destroy();
    }
}

function headersOf({ key, headers }: HttpRequestOptions): Readonly<Record<string, string>> {
    const common = { "content-type": "application/json", ...headers };
    return key === undefined ? common : { ...common, authorization: `Bearer ${key}` };
}
