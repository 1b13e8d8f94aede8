import { createParser } from "eventsource-parser";
import type { IncomingMessage } from "node:http";
import { readEngineChunk, readWholeAnswer } from "./engineChunk.js";
import type { EngineChunk, EngineUsage } from "./engineChunk.js";

/** Largest buffered part of an event, in characters. */
const maximumEventCharacters = 1024 * 1024;

/** Largest body of an answer that is not streamed, in bytes. */
const maximumWholeBytes = 16 * 1024 * 1024;

/** How the stream of an engine's answer ended. */
export type EngineAnswerEnd =
    | { readonly kind: "finished"; readonly finishReason: string; readonly usage: EngineUsage; }
    /** The stream ended or was at fault before its last chunk. */
    | { readonly kind: "broken"; readonly reason: string; };

/** Takes each token of an answer in order. */
export type TokenReceiver = (content: string, tokenNumber: number) => Promise<void> | undefined;

/**
 * Reads an engine's streamed answer and passes its tokens on, each exactly once and in order.
 *
 * A chunk of another request is dropped and counted; a repeated token is skipped; a gap ends the reading as broken.
 */
export class EngineResponseReader {
    private readonly pending: string[] = [];
    private fault: string | undefined;
    private finishReason: string | undefined;
    private usage: EngineUsage | undefined;
    private crossed = 0;
    private next: number;

    /**
     * @param requestId Identifier that each chunk must carry.
     * @param firstToken Number of the first token that is expected.
     * @param maximumTokens Tokens that the whole answer may have; more are a fault of the engine.
     */
    constructor(private readonly requestId: string, firstToken: number, private readonly maximumTokens: number) {
        this.next = firstToken;
    }

    /** Number of the next expected token. */
    get nextToken(): number {
        return this.next;
    }

    /** Chunks of other requests that were dropped. */
    get crossedChunks(): number {
        return this.crossed;
    }

    /** Reads to the end of the answer; the stream is destroyed when it is at fault. */
    async read(message: IncomingMessage, receive: TokenReceiver): Promise<EngineAnswerEnd> {
        const type = message.headers["content-type"] ?? "";
        return type.startsWith("application/json")
            ? await this.readWhole(message, receive)
            : await this.readStream(message, receive);
    }

    /** An engine may answer as a whole although a stream was asked for; its text counts as one token. */
    private async readWhole(message: IncomingMessage, receive: TokenReceiver): Promise<EngineAnswerEnd> {
        const body = await collectBody(message, maximumWholeBytes);
        const answer = body === undefined ? undefined : readWholeAnswer(body.toString("utf8"));
        if (answer === undefined) {
            return { kind: "broken", reason: "the whole answer is malformed" };
        }
        if (answer.id !== this.requestId) {
            this.crossed++;
            return { kind: "broken", reason: "the whole answer belongs to another request" };
        }
        if (this.next > 0) {
            return { kind: "broken", reason: "a resumed answer was not streamed" };
        }
        this.next = 1;
        await receive(answer.content, 0);
        return { kind: "finished", finishReason: answer.finishReason, usage: answer.usage };
    }

    private async readStream(message: IncomingMessage, receive: TokenReceiver): Promise<EngineAnswerEnd> {
        const parser = createParser({
            onEvent: event => {
                this.pending.push(event.data);
            },
        });
        message.setEncoding("utf8");
        let done = false;
        let bufferedCharacters = 0;
        try {
            for await (const text of message) {
                parser.feed(text as string);
                bufferedCharacters = this.pending.length > 0 ? 0 : bufferedCharacters + (text as string).length;
                done = await this.passOn(receive) || done;
                if (bufferedCharacters > maximumEventCharacters) {
                    this.fault = "an event is too large";
                }
                if (this.fault !== undefined) {
                    break;
                }
            }
        }
        catch (error) {
            this.fault ??= error instanceof Error ? error.message : "the connection failed";
        }
        return this.end(done);
    }

    /** @returns Whether the closing event was among the pending ones. */
    private async passOn(receive: TokenReceiver): Promise<boolean> {
        for (const data of this.pending.splice(0)) {
            if (data === "[DONE]") {
                return true;
            }
            const chunk = readEngineChunk(data);
            if (chunk === undefined) {
                this.fault = "an event is malformed";
                return false;
            }
            if (chunk.id !== this.requestId) {
                this.crossed++;
                continue;
            }
            await this.takeChunk(chunk, receive);
            if (this.fault !== undefined) {
                return false;
            }
        }
        return false;
    }

    private takeChunk(chunk: EngineChunk, receive: TokenReceiver): Promise<void> | undefined {
        this.finishReason = chunk.finishReason ?? this.finishReason;
        this.usage = chunk.usage ?? this.usage;
        const number = chunk.tokenNumber;
        if (number === undefined || number < this.next) {
            return undefined;
        }
        if (number > this.next) {
            this.fault = `token ${this.next} is missing`;
            return undefined;
        }
        if (number >= this.maximumTokens) {
            this.fault = "the answer is longer than was allowed";
            return undefined;
        }
        this.next++;
        return receive(chunk.content, number);
    }

    private end(done: boolean): EngineAnswerEnd {
        if (this.fault !== undefined) {
            return { kind: "broken", reason: this.fault };
        }
        if (!done || this.finishReason === undefined || this.usage === undefined) {
            return { kind: "broken", reason: "the answer ended early" };
        }
        if (this.usage.completion_tokens !== this.next) {
            return { kind: "broken", reason: `${this.next} of ${this.usage.completion_tokens} tokens arrived` };
        }
        return { kind: "finished", finishReason: this.finishReason, usage: this.usage };
    }
}

/** The body of an answer; undefined when it is too large or ends early. */
export async function collectBody(message: IncomingMessage, limit: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            length += chunk.length;
            if (length > limit) {
                return undefined;
            }
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks, length);
}
