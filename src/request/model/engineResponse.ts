import { createParser } from "eventsource-parser";
import type { IncomingMessage } from "node:http";
import { parseEngineChunk, parseNonStreamingResponse } from "./engineChunk.js";
import type { EngineChunk, EngineUsage } from "./engineChunk.js";

/** Maximum length of an incomplete event in the parser's buffer, in characters. */
const maximumEventCharacters = 1024 * 1024;

/** Maximum size of a non-streaming response body, in bytes. */
const maximumNonStreamingBytes = 16 * 1024 * 1024;

/** Result of reading an engine's response. */
export type EngineResponseResult =
    | { readonly kind: "finished"; readonly finishReason: string; readonly usage: EngineUsage; }
    /** The response was incomplete or violated the protocol. */
    | { readonly kind: "broken"; readonly reason: string; };

/** Receives each token of a response in order; reading continues once the returned promise has resolved. */
export type TokenHandler = (content: string, tokenNumber: number) => Promise<void> | undefined;

/**
 * Reads an engine's response and delivers each of its tokens exactly once and in order.
 *
 * Chunks of other requests are dropped and counted, and repeated tokens are skipped. A gap in the token numbers ends
 * the read with a `broken` result.
 */
export class EngineResponseReader {
    private readonly pendingEvents: string[] = [];
    private failureReason: string | undefined;
    private finishReason: string | undefined;
    private usage: EngineUsage | undefined;
    private foreignChunkCount = 0;
    private nextTokenNumber: number;

    /**
     * @param requestId Request identifier that each chunk must carry.
     * @param firstToken Number of the first expected token; greater than 0 when a response is resumed.
     * @param maximumTokens Maximum number of tokens in the response, including those before `firstToken`; an engine
     * that sends more is at fault.
     */
    constructor(private readonly requestId: string, firstToken: number, private readonly maximumTokens: number) {
        this.nextTokenNumber = firstToken;
    }

    /** Number of the next expected token. */
    get nextToken(): number {
        return this.nextTokenNumber;
    }

    /** Number of dropped chunks and bodies that carried the identifier of another request. */
    get foreignChunks(): number {
        return this.foreignChunkCount;
    }

    /** Reads the response to its end; a protocol error while streaming ends the read and destroys the stream. */
    async read(message: IncomingMessage, onToken: TokenHandler): Promise<EngineResponseResult> {
        const type = message.headers["content-type"] ?? "";
        return type.startsWith("application/json")
            ? await this.readNonStreaming(message, onToken)
            : await this.readStreaming(message, onToken);
    }

    /** Engines may send one JSON body although a stream was requested; its text is delivered as a single token. */
    private async readNonStreaming(message: IncomingMessage, onToken: TokenHandler): Promise<EngineResponseResult> {
        const body = await collectBody(message, maximumNonStreamingBytes);
        const response = body === undefined ? undefined : parseNonStreamingResponse(body.toString("utf8"));
        if (response === undefined) {
            return { kind: "broken", reason: "the non-streaming response is malformed" };
        }
        if (response.id !== this.requestId) {
            this.foreignChunkCount++;
            return { kind: "broken", reason: "the non-streaming response belongs to another request" };
        }
        if (this.nextTokenNumber > 0) {
            return { kind: "broken", reason: "the engine did not stream the resumed response" };
        }
        this.nextTokenNumber = 1;
        await onToken(response.content, 0);
        return { kind: "finished", finishReason: response.finishReason, usage: response.usage };
    }

    private async readStreaming(message: IncomingMessage, onToken: TokenHandler): Promise<EngineResponseResult> {
        const parser = createParser({
            onEvent: event => {
                this.pendingEvents.push(event.data);
            },
        });
        message.setEncoding("utf8");
        let receivedDone = false;
        let bufferedCharacters = 0;
        try {
            for await (const text of message) {
                parser.feed(text as string);
                bufferedCharacters = this.pendingEvents.length > 0 ? 0 : bufferedCharacters + (text as string).length;
                receivedDone = await this.processPendingEvents(onToken) || receivedDone;
                if (bufferedCharacters > maximumEventCharacters) {
                    this.failureReason = "an event exceeds the maximum size";
                }
                if (this.failureReason !== undefined) {
                    break;
                }
            }
        }
        catch (error) {
            this.failureReason ??= error instanceof Error ? error.message : "the connection failed";
        }
        return this.createResult(receivedDone);
    }

    /** @returns Whether the `[DONE]` event was among the pending ones. */
    private async processPendingEvents(onToken: TokenHandler): Promise<boolean> {
        for (const data of this.pendingEvents.splice(0)) {
            if (data === "[DONE]") {
                return true;
            }
            const chunk = parseEngineChunk(data);
            if (chunk === undefined) {
                this.failureReason = "an event is malformed";
                return false;
            }
            if (chunk.id !== this.requestId) {
                this.foreignChunkCount++;
                continue;
            }
            await this.processChunk(chunk, onToken);
            if (this.failureReason !== undefined) {
                return false;
            }
        }
        return false;
    }

    private processChunk(chunk: EngineChunk, onToken: TokenHandler): Promise<void> | undefined {
        this.finishReason = chunk.finishReason ?? this.finishReason;
        this.usage = chunk.usage ?? this.usage;
        const tokenNumber = chunk.tokenNumber;
        if (tokenNumber === undefined || tokenNumber < this.nextTokenNumber) {
            return undefined;
        }
        if (tokenNumber > this.nextTokenNumber) {
            this.failureReason = `token ${this.nextTokenNumber} is missing`;
            return undefined;
        }
        if (tokenNumber >= this.maximumTokens) {
            this.failureReason = "the response exceeds the maximum number of output tokens";
            return undefined;
        }
        this.nextTokenNumber++;
        return onToken(chunk.content, tokenNumber);
    }

    private createResult(receivedDone: boolean): EngineResponseResult {
        if (this.failureReason !== undefined) {
            return { kind: "broken", reason: this.failureReason };
        }
        if (!receivedDone || this.finishReason === undefined || this.usage === undefined) {
            return { kind: "broken", reason: "the response ended early" };
        }
        if (this.usage.completion_tokens !== this.nextTokenNumber) {
            return {
                kind: "broken",
                reason: `${this.nextTokenNumber} of ${this.usage.completion_tokens} tokens were received`,
            };
        }
        return { kind: "finished", finishReason: this.finishReason, usage: this.usage };
    }
}

/** Reads a body into memory; undefined when it exceeds `maximumBytes` or the connection fails. */
export async function collectBody(message: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            receivedBytes += chunk.length;
            if (receivedBytes > maximumBytes) {
                return undefined;
            }
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks, receivedBytes);
}
