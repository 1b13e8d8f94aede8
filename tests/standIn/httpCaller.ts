import { createParser } from "eventsource-parser";
import { Agent, request } from "node:http";
import type { IncomingHttpHeaders } from "node:http";

/** A whole answer over HTTP. */
export interface HttpAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly text: string;
    /** Whether the connection broke before the end of the answer. */
    readonly broken: boolean;
}

/** One call over HTTP. */
export interface HttpCall {
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON unless it is a text. */
    readonly body?: unknown;
}

/** One chunk of a streamed answer. */
export interface StreamChunk {
    readonly id: string;
    readonly token_number: number;
    readonly choices: readonly [{ readonly delta: { readonly content: string; }; readonly finish_reason: unknown; }];
    readonly usage?: Readonly<Record<string, number>>;
}

const agent = new Agent({ keepAlive: false });

/** Calls an address and reads the whole answer; rejects when the connection ends before the headers of the answer. */
export function callHttp(address: string, path: string, call: HttpCall = {}): Promise<HttpAnswer> {
    return new Promise((resolve, reject) => {
        const method = call.method ?? (call.body === undefined ? "GET" : "POST");
        const sent = request(`http://${address}${path}`, { method, headers: call.headers, agent }, response => {
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
        });
        sent.on("error", reject);
        sent.end(typeof call.body === "string" ? call.body : JSON.stringify(call.body));
    });
}

/** The JSON body of an answer; the caller of this function vouches for its shape. */
export function jsonOf<Body>(answer: HttpAnswer): Body {
    return JSON.parse(answer.text) as Body;
}

/** The chunks of a streamed answer, and whether its closing event came. */
export function chunksOf(answer: HttpAnswer): { readonly chunks: readonly StreamChunk[]; readonly done: boolean; } {
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
    parser.feed(answer.text);
    return { chunks, done };
}

/** The text of all chunks. */
export function textOf(chunks: readonly StreamChunk[]): string {
    return chunks.map(chunk => chunk.choices[0].delta.content).join("");
}
