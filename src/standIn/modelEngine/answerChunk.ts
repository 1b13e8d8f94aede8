import type { MadeToken } from "./sequence.js";

/** What an answer used, as bills count it. */
export interface AnswerUsage {
    readonly prompt_tokens: number;
    /** Tokens of the whole answer, also after a resume. */
    readonly completion_tokens: number;
    readonly cached_tokens: number;
}

/** Why an answer ended: it was complete, or the caller's limit was reached. */
export type FinishReason = "stop" | "length";

/** The end of an answer. */
export interface AnswerFinish {
    readonly reason: FinishReason;
    readonly usage: AnswerUsage;
}

/** What is the same in every chunk of an answer. */
export interface AnswerHead {
    readonly id: string;
    readonly model: string;
    /** Whether the answer belongs to a chat or to a text completion. */
    readonly form: "chat" | "text";
}

/** The last event of a streamed answer. */
export const doneEvent = "data: [DONE]\n\n";

/** The event that carries one token, or only the end of an answer that was resumed after its last token. */
export function chunkEvent(head: AnswerHead, token: MadeToken | Pick<MadeToken, "finish">): string {
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

/** The body of an answer that is not streamed. */
export interface WholeAnswer {
    readonly id: string;
    readonly object: string;
    readonly model: string;
    readonly choices: readonly object[];
    readonly usage: AnswerUsage;
}

/** Makes the body of an answer that is not streamed. */
export function wholeAnswer(head: AnswerHead, text: string, finish: AnswerFinish): WholeAnswer {
    const content = head.form === "chat" ? { message: { role: "assistant", content: text } } : { text };
    return {
        id: head.id,
        object: head.form === "chat" ? "chat.completion" : "text_completion",
        model: head.model,
        choices: [{ index: 0, ...content, finish_reason: finish.reason }],
        usage: finish.usage,
    };
}
