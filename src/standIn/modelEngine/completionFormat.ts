import type { GeneratedToken } from "./sequence.js";

/** Token usage of a completion, as counted for billing. */
export interface CompletionUsage {
    readonly prompt_tokens: number;
    /** Tokens of the whole completion, including those before a resume. */
    readonly completion_tokens: number;
    readonly cached_tokens: number;
}

/** Why a completion ended: it was complete, or it reached the caller's token limit. */
export type FinishReason = "stop" | "length";

/** Finish reason and usage of a completion. */
export interface CompletionFinish {
    readonly reason: FinishReason;
    readonly usage: CompletionUsage;
}

/** The fields that all chunks of a completion share. */
export interface CompletionHead {
    readonly id: string;
    readonly model: string;
    /** Whether this is a chat completion or a text completion. */
    readonly form: "chat" | "text";
}

/** The last event of a streamed completion. */
export const doneEvent = "data: [DONE]\n\n";

/** Formats the event for one token, or for the finish alone when a completion was resumed after its last token. */
export function formatChunkEvent(head: CompletionHead, token: GeneratedToken | Pick<GeneratedToken, "finish">): string {
    const { finish } = token;
    const content = JSON.stringify("text" in token ? token.text : "");
    const text = head.form === "chat" ? "" : `"text":${content},`;
    const reason = finish === undefined ? "null" : JSON.stringify(finish.reason);
    const number = "number" in token ? `,"token_number":${token.number}` : "";
    const usage = finish === undefined ? "" : `,"usage":${JSON.stringify(finish.usage)}`;
    const object = head.form === "chat" ? "chat.completion.chunk" : "text_completion";
    return `data: {"id":${JSON.stringify(head.id)},"object":"${object}","model":${JSON.stringify(head.model)},`
        + `"choices":[{"index":0,"delta":{"content":${content}},${text}"finish_reason":${reason}}]`
        + `${number}${usage}}\n\n`;
}

/** The response body of a completion that is not streamed. */
export interface CompletionResponse {
    readonly id: string;
    readonly object: string;
    readonly model: string;
    readonly choices: readonly object[];
    readonly usage: CompletionUsage;
}

/** Builds the response body of a completion that is not streamed. */
export function buildCompletionResponse(
    head: CompletionHead,
    text: string,
    finish: CompletionFinish,
): CompletionResponse {
    const content = head.form === "chat" ? { message: { role: "assistant", content: text } } : { text };
    return {
        id: head.id,
        object: head.form === "chat" ? "chat.completion" : "text_completion",
        model: head.model,
        choices: [{ index: 0, ...content, finish_reason: finish.reason }],
        usage: finish.usage,
    };
}
