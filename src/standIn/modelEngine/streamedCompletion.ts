import type { StandInCall } from "../standInCall.js";
import { doneEvent, formatChunkEvent } from "./completionFormat.js";
import type { CompletionFinish, CompletionHead } from "./completionFormat.js";
import type { RecentResponses } from "./recentResponses.js";
import { TokenSink } from "./sequence.js";
import type { GeneratedToken, SequenceEndReason } from "./sequence.js";

/** The options of a streamed completion. */
export interface StreamedCompletionOptions {
    readonly head: CompletionHead;
    /** Number of unsent bytes at which generation pauses. */
    readonly bufferedBytes: number;
    readonly recentChunks: RecentResponses<string>;
}

/** Sends each token as a server-sent event and applies the stream faults. */
export class StreamedCompletion extends TokenSink {
    private sentTokens = 0;

    constructor(private readonly call: StandInCall, private readonly options: StreamedCompletionOptions) {
        super();
    }

    override get ready(): boolean {
        return this.call.response.writableLength < this.options.bufferedBytes;
    }

    override push(token: GeneratedToken): void {
        this.writeHeadOnce();
        const event = formatChunkEvent(this.options.head, token);
        this.write(token.number, event);
        this.options.recentChunks.add(this.options.head.id, event);
        this.sentTokens++;
        if (token.finish !== undefined) {
            this.call.response.end(doneEvent);
        }
        this.applyBreakFault();
    }

    override finish(finish: CompletionFinish): void {
        this.writeHeadOnce();
        this.call.response.write(formatChunkEvent(this.options.head, { finish }));
        this.call.response.end(doneEvent);
    }

    override abort(reason: Exclude<SequenceEndReason, "finished">): void {
        if (reason === "crashed" || this.call.response.headersSent) {
            this.call.destroyConnection();
        }
        else {
            this.call.respondWithError(409, "cancelled");
        }
    }

    private writeHeadOnce(): void {
        if (!this.call.response.headersSent) {
            this.call.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": this.options.head.id,
            });
        }
    }

    private write(number: number, event: string): void {
        const { faults, path, response } = this.call;
        if (faults.peek("skipToken", path)?.tokenNumber === number) {
            faults.consume("skipToken", path);
            return;
        }
        if (this.writeCrossedChunk()) {
            return;
        }
        response.write(event);
        if (faults.peek("duplicateToken", path)?.tokenNumber === number) {
            faults.consume("duplicateToken", path);
            response.write(event);
        }
    }

    /** Applies `crossAnswers`: writes a chunk of another request; true when it replaces the chunk of this request. */
    private writeCrossedChunk(): boolean {
        const { faults, path, response } = this.call;
        const otherChunk = faults.peek("crossAnswers", path)
            && this.options.recentChunks.ofOtherRequest(this.options.head.id);
        if (otherChunk === undefined) {
            return false;
        }
        response.write(otherChunk);
        return faults.consume("crossAnswers", path)?.replace ?? false;
    }

    private applyBreakFault(): void {
        const { faults, path } = this.call;
        const fault = faults.peek("breakStreams", path);
        if (fault !== undefined && this.sentTokens >= fault.afterTokens) {
            faults.consume("breakStreams", path);
            // destroySoon() flushes pending writes, so that the client receives the tokens before the close.
            this.call.response.socket?.destroySoon();
        }
    }
}
