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

/** The event that carries one token; `finish` comes with the last one. */
export function chunkEvent(head: AnswerHead, token: MadeToken, finish: AnswerFinish | undefined): string {
    const content = JSON.stringify(token.text);
    const text = head.form === "chat" ? "" : `"text":${content},`;
    const reason = finish === undefined ? "null" : JSON.stringify(finish.reason);
    const usage = finish === undefined ? "" : `,"usage":${JSON.stringify(finish.usage)}`;
    const object = head.form === "chat" ? "chat.completion.chunk" : "text_completion";
    return `data: {"id":${JSON.stringify(head.id)},"object":"${object}","model":${JSON.stringify(head.model)},`
        + `"choices":[{"index":0,"delta":{"content":${content}},${text}"finish_reason":${reason}}],`
        + `"token_number":${token.number}${usage}}\n\n`;
}

/** The body of an answer that is not streamed. */
export function wholeAnswer(head: AnswerHead, text: string, finish: AnswerFinish): unknown {
    const content = head.form === "chat" ? { message: { role: "assistant", content: text } } : { text };
    return {
        id: head.id,
        object: head.form === "chat" ? "chat.completion" : "text_completion",
        model: head.model,
        choices: [{ index: 0, ...content, finish_reason: finish.reason }],
        usage: finish.usage,
    };
}
