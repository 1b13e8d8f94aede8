import { request as httpRequest } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { promptText } from "../../../src/standIn/modelEngine/completionBody.js";
import { expectedCompletion } from "../../../src/standIn/modelEngine/deterministicCompletion.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import type { TestEntry } from "./testEntry.js";

/** A call to an entry. */
export interface TestCall {
    readonly method?: string;
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Plain text of the key; the key of the entry if absent, no key if empty. */
    readonly key?: string;
    readonly signal?: AbortSignal;
}

/** A response as received by the caller. */
export interface TestResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the response was received completely. */
    readonly complete: boolean;
}

/** Makes a call and waits for the headers of its response. */
export function open(entry: TestEntry, call: TestCall): Promise<IncomingMessage> {
    const key = call.key ?? entry.key;
    return new Promise((resolve, reject) => {
        const outgoing = httpRequest({
            ...splitAddress(entry.address),
            agent: false,
            method: call.method ?? "POST",
            path: call.path,
            headers: {
                "content-type": "application/json",
                ...call.body === undefined ? {} : { "content-length": Buffer.byteLength(call.body) },
                ...key === "" ? {} : { authorization: `Bearer ${key}` },
                ...call.headers,
            },
            ...call.signal === undefined ? {} : { signal: call.signal },
        });
        outgoing.on("error", reject);
        outgoing.once("response", resolve);
        outgoing.end(call.body);
    });
}

/** Makes a call and waits for its complete response. */
export async function ask(entry: TestEntry, call: TestCall): Promise<TestResponse> {
    return await collect(await open(entry, call));
}

/** Reads a response until it ends or is aborted. */
export async function collect(message: IncomingMessage): Promise<TestResponse> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
    }
    catch {
        // The response was aborted; the body received so far is returned.
    }
    const body = Buffer.concat(chunks).toString("utf8");
    return { status: message.statusCode ?? 0, headers: message.headers, body, complete: message.complete };
}

/** Creates a streamed chat call whose response has the given number of tokens. */
export function chatCall(tokens: number, text = "hello", requestClass = "drafts"): TestCall {
    const body = JSON.stringify({ model: "alpha", stream: true, messages: messagesOf(tokens, text) });
    return { path: "/v1/chat/completions", body, headers: { "x-request-class": requestClass } };
}

/** The expected text of the response to {@link chatCall}. */
export function chatText(tokens: number, text = "hello"): string {
    return expectedCompletion("alpha", promptText({ messages: messagesOf(tokens, text) }));
}

/** The text of a streamed response, or a description of the fault if it is incomplete or its tokens are misnumbered. */
export function streamedText(response: TestResponse): string {
    const events = response.body.split("\n\n").filter(event => event.startsWith("data: {"));
    let text = "";
    let next = 0;
    for (const event of events) {
        const chunk = JSON.parse(event.slice(6)) as StreamedChunk;
        if (chunk.token_number !== undefined && chunk.token_number !== next++) {
            return `received token ${chunk.token_number}, expected ${next - 1}`;
        }
        text += chunk.choices?.[0]?.delta.content ?? "";
    }
    return response.body.endsWith("data: [DONE]\n\n") ? text : `incomplete response: ${response.body.slice(-300)}`;
}

/** The identifier of the result code in the body of a response. */
export function codeOf({ body }: Pick<TestResponse, "body">): string | undefined {
    try {
        return (JSON.parse(body) as { readonly error?: { readonly type: string; }; }).error?.type;
    }
    catch {
        return body;
    }
}

interface StreamedChunk {
    readonly token_number?: number;
    readonly choices?: readonly { readonly delta: { readonly content?: string; }; }[];
}

function messagesOf(tokens: number, text: string): { readonly role: string; readonly content: string; }[] {
    return [{ role: "user", content: `${text} [answer-tokens: ${tokens}]` }];
}
