import type { ServerResponse } from "node:http";
import { answerFailure, answerJson, drained, failureBody } from "../../connection/httpAnswer.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { EngineUsage } from "./engineChunk.js";
import type { ModelCallApi } from "./modelRequestBody.js";

/** What every part of an answer repeats. */
export interface AnswerHead {
    readonly requestId: string;
    readonly model: string;
    readonly form: ModelCallApi;
}

/** Writes the answer of a model call to its caller. */
export abstract class AnswerWriter {
    constructor(protected readonly response: ServerResponse, protected readonly head: AnswerHead) {}

    /** Whether the caller has received a part of the answer. */
    abstract get begun(): boolean;

    /** Writes one token; resolves when the caller has room for more. */
    abstract writeToken(content: string, tokenNumber: number): Promise<void> | undefined;

    /** Writes the end of a whole answer. */
    abstract finish(finishReason: string, usage: EngineUsage): void;

    /** Ends with an error; the caller can tell that the answer is not whole. */
    abstract fail(reported: Failure, headers?: Readonly<Record<string, string>>): void;
}

/** Writes an answer as server-sent events. */
export class StreamedAnswerWriter extends AnswerWriter {
    private headWritten = false;
    private readonly prefix: string;

    constructor(response: ServerResponse, head: AnswerHead) {
        super(response, head);
        const object = head.form === "chat" ? "chat.completion.chunk" : "text_completion";
        this.prefix = `data: {"id":${JSON.stringify(head.requestId)},"object":"${object}","model":${
            JSON.stringify(head.model)
        },`;
    }

    override get begun(): boolean {
        return this.headWritten;
    }

    override writeToken(content: string, tokenNumber: number): Promise<void> | undefined {
        const text = JSON.stringify(content);
        const part = this.head.form === "chat" ? `"delta":{"content":${text}}` : `"text":${text}`;
        const choice = `{"index":0,${part},"finish_reason":null}`;
        return this.write(`${this.prefix}"choices":[${choice}],"token_number":${tokenNumber}}\n\n`);
    }

    override finish(finishReason: string, usage: EngineUsage): void {
        const part = this.head.form === "chat" ? `"delta":{}` : `"text":""`;
        const choice = `{"index":0,${part},"finish_reason":${JSON.stringify(finishReason)}}`;
        void this.write(`${this.prefix}"choices":[${choice}],"usage":${JSON.stringify(usage)}}\n\n`);
        this.response.end("data: [DONE]\n\n");
    }

    override fail(reported: Failure, headers: Readonly<Record<string, string>> = {}): void {
        if (!this.headWritten) {
            answerFailure(this.response, reported, { "x-request-id": this.head.requestId, ...headers });
            return;
        }
        this.response.end(`data: ${JSON.stringify(failureBody(reported))}\n\n`);
    }

    private write(text: string): Promise<void> | undefined {
        if (!this.headWritten) {
            this.headWritten = true;
            this.response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                "x-request-id": this.head.requestId,
            });
        }
        if (this.response.destroyed || this.response.write(text)) {
            return undefined;
        }
        return drained(this.response);
    }
}

/** Gathers an answer and writes it as one JSON body. */
export class WholeAnswerWriter extends AnswerWriter {
    private readonly contents: string[] = [];

    override get begun(): boolean {
        return false;
    }

    override writeToken(content: string): undefined {
        this.contents.push(content);
        return undefined;
    }

    override finish(finishReason: string, usage: EngineUsage): void {
        const { requestId, model, form } = this.head;
        const content = this.contents.join("");
        const part = form === "chat" ? { message: { role: "assistant", content } } : { text: content };
        const choices = [{ index: 0, ...part, finish_reason: finishReason }];
        const object = form === "chat" ? "chat.completion" : "text_completion";
        answerJson(this.response, 200, { id: requestId, object, model, choices, usage }, { "x-request-id": requestId });
    }

    override fail(reported: Failure, headers: Readonly<Record<string, string>> = {}): void {
        answerFailure(this.response, reported, { "x-request-id": this.head.requestId, ...headers });
    }
}
