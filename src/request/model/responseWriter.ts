import type { ServerResponse } from "node:http";
import { createFailureBody, sendFailure, sendJson, waitForDrain } from "../../connection/httpResponse.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { EngineUsage } from "./engineChunk.js";
import type { ModelCallApi } from "./modelRequestBody.js";

/** Fields that every event or body of a response repeats. */
export interface ResponseMetadata {
    readonly requestId: string;
    readonly model: string;
    readonly api: ModelCallApi;
}

/** Writes the response of a model call to the caller. */
export abstract class ResponseWriter {
    constructor(protected readonly response: ServerResponse, protected readonly metadata: ResponseMetadata) {}

    /** Whether the status line and headers were sent, so that the status can no longer change. */
    abstract get hasStarted(): boolean;

    /** Writes one token; the promise, if any, resolves once the socket's write buffer has drained. */
    abstract writeToken(content: string, tokenNumber: number): Promise<void> | undefined;

    /** Ends a complete response. */
    abstract finish(finishReason: string, usage: EngineUsage): void;

    /** Ends the response with an error, from which the caller can tell that the response is incomplete. */
    abstract fail(failure: Failure, headers?: Readonly<Record<string, string>>): void;
}

/** Writes a response as server-sent events. */
export class StreamingResponseWriter extends ResponseWriter {
    private headersWritten = false;
    private readonly eventPrefix: string;

    constructor(response: ServerResponse, metadata: ResponseMetadata) {
        super(response, metadata);
        const object = metadata.api === "chat" ? "chat.completion.chunk" : "text_completion";
        this.eventPrefix = `data: {"id":${JSON.stringify(metadata.requestId)},"object":"${object}","model":${
            JSON.stringify(metadata.model)
        },`;
    }

    override get hasStarted(): boolean {
        return this.headersWritten;
    }

    override writeToken(content: string, tokenNumber: number): Promise<void> | undefined {
        const text = JSON.stringify(content);
        const contentFields = this.metadata.api === "chat" ? `"delta":{"content":${text}}` : `"text":${text}`;
        const choice = `{"index":0,${contentFields},"finish_reason":null}`;
        return this.write(`${this.eventPrefix}"choices":[${choice}],"token_number":${tokenNumber}}\n\n`);
    }

    override finish(finishReason: string, usage: EngineUsage): void {
        const contentFields = this.metadata.api === "chat" ? `"delta":{}` : `"text":""`;
        const choice = `{"index":0,${contentFields},"finish_reason":${JSON.stringify(finishReason)}}`;
        void this.write(`${this.eventPrefix}"choices":[${choice}],"usage":${JSON.stringify(usage)}}\n\n`);
        this.response.end("data: [DONE]\n\n");
    }

    override fail(failure: Failure, headers: Readonly<Record<string, string>> = {}): void {
        if (!this.headersWritten) {
            sendFailure(this.response, failure, { "x-request-id": this.metadata.requestId, ...headers });
            return;
        }
        this.response.end(`data: ${JSON.stringify(createFailureBody(failure))}\n\n`);
    }

    private write(text: string): Promise<void> | undefined {
        if (!this.headersWritten) {
            this.headersWritten = true;
            this.response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                "x-request-id": this.metadata.requestId,
            });
        }
        if (this.response.destroyed || this.response.write(text)) {
            return undefined;
        }
        return waitForDrain(this.response);
    }
}

/** Collects all tokens and writes them as a single JSON body. */
export class NonStreamingResponseWriter extends ResponseWriter {
    private readonly tokenTexts: string[] = [];

    override get hasStarted(): boolean {
        return false;
    }

    override writeToken(content: string): undefined {
        this.tokenTexts.push(content);
        return undefined;
    }

    override finish(finishReason: string, usage: EngineUsage): void {
        const { requestId, model, api } = this.metadata;
        const content = this.tokenTexts.join("");
        const contentFields = api === "chat" ? { message: { role: "assistant", content } } : { text: content };
        const choices = [{ index: 0, ...contentFields, finish_reason: finishReason }];
        const object = api === "chat" ? "chat.completion" : "text_completion";
        sendJson(this.response, 200, { id: requestId, object, model, choices, usage }, { "x-request-id": requestId });
    }

    override fail(failure: Failure, headers: Readonly<Record<string, string>> = {}): void {
        sendFailure(this.response, failure, { "x-request-id": this.metadata.requestId, ...headers });
    }
}
