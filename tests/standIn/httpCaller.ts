import { createParser } from "eventsource-parser";
import { Agent, request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";

/** A complete HTTP response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly text: string;
    /** Whether the connection closed before the end of the response. */
    readonly broken: boolean;
}

/** The options of an HTTP call. */
export interface HttpCallOptions {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON, or unchanged if it is a string. */
    readonly body?: unknown;
}

/** A chunk of a streamed completion. */
export interface StreamChunk {
    readonly id: string;
    readonly token_number: number;
    readonly choices: readonly [{ readonly delta: { readonly content: string; }; readonly finish_reason: unknown; }];
    readonly usage?: Readonly<Record<string, number>>;
}

const agent = new Agent({ keepAlive: false });

/** Makes an HTTP call and reads the whole response; rejects when the connection closes before the response headers. */
export function callHttp(address: string, path: string, call: HttpCallOptions = {}): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
        const method = call.method ?? (call.body === undefined ? "GET" : "POST");
        const clientRequest = request(
            `http://${address}${path}`,
            { method, headers: call.headers, agent },
            response => {
                let text = "";
                const finish = (broken: boolean): void => {
                    resolve({ status: response.statusCode ?? 0, headers: response.headers, text, broken });
                };
                response.setEncoding("utf8");
                response.on("data", (part: string) => {
                    text += part;
                });
                response.on("end", () => {
                    finish(false);
                });
                response.on("error", () => {
                    finish(true);
                });
            },
        );
        clientRequest.on("error", reject);
        clientRequest.end(typeof call.body === "string" ? call.body : JSON.stringify(call.body));
    });
}

/** Parses the JSON body of a response; the type parameter is not checked. */
export function parseJsonBody<Body>(response: HttpResponse): Body {
    return JSON.parse(response.text) as Body;
}

/** Parses the chunks of a streamed completion; `done` tells whether the `[DONE]` event was received. */
export function parseChunks(
    response: HttpResponse,
): { readonly chunks: readonly StreamChunk[]; readonly done: boolean; } {
    const chunks: StreamChunk[] = [];
    let done = false;
    const parser = createParser({
        onEvent: event => {
            if (event.data === "[DONE]") {
                done = true;
            }
            else {
                chunks.push(JSON.parse(event.data) as StreamChunk);
            }
        },
    });
    parser.feed(response.text);
    return { chunks, done };
}

/** The concatenated content of the chunks. */
export function textOf(chunks: readonly StreamChunk[]): string {
    return chunks.map(chunk => chunk.choices[0].delta.content).join("");
}
