import type { StandInCall } from "../standInCall.js";
import { chunkEvent, doneEvent } from "./answerChunk.js";
import type { AnswerFinish, AnswerHead } from "./answerChunk.js";
import type { RecentAnswers } from "./recentAnswers.js";
import { TokenSink } from "./sequence.js";
import type { MadeToken, SequenceEnd } from "./sequence.js";

/** What a streamed answer needs besides its call. */
export interface StreamedAnswerOptions {
    readonly head: AnswerHead;
    /** Bytes that may wait for a slow reader. */
    readonly bufferedBytes: number;
    readonly recent: RecentAnswers<string>;
}

/** Sends each token as a server-sent event and shows the faults of streams. */
export class StreamedAnswer extends TokenSink {
    private sent = 0;

    constructor(private readonly call: StandInCall, private readonly options: StreamedAnswerOptions) {
        super();
    }

    override get ready(): boolean {
        return this.call.response.writableLength < this.options.bufferedBytes;
    }

    override take(token: MadeToken): void {
        this.begin();
        const event = chunkEvent(this.options.head, token);
        this.write(token.number, event);
        this.options.recent.note(this.options.head.id, event);
        this.sent++;
        if (token.finish !== undefined) {
            this.call.response.end(doneEvent);
        }
        this.breakWhereTold();
    }

    override finish(finish: AnswerFinish): void {
        this.begin();
        this.call.response.write(chunkEvent(this.options.head, { finish }));
        this.call.response.end(doneEvent);
    }

    override end(reason: Exclude<SequenceEnd, "finished">): void {
        if (reason === "crashed" || this.call.response.headersSent) {
            this.call.drop();
        }
        else {
            this.call.refuse(409, "cancelled");
        }
    }

    private begin(): void {
        if (!this.call.response.headersSent) {
            this.call.begin(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                "x-request-id": this.options.head.id,
            });
        }
    }

    private write(number: number, event: string): void {
        const { faults, path, response } = this.call;
        if (faults.peek("skipToken", path)?.tokenNumber === number) {
            faults.strike("skipToken", path);
            return;
        }
        if (this.crossed()) {
            return;
        }
        response.write(event);
        if (faults.peek("duplicateToken", path)?.tokenNumber === number) {
            faults.strike("duplicateToken", path);
            response.write(event);
        }
    }

    /** Sends another request's chunk where a fault says so; true when it stands in place of the own one. */
    private crossed(): boolean {
        const { faults, path, response } = this.call;
        const foreign = faults.peek("crossAnswers", path) && this.options.recent.ofAnother(this.options.head.id);
        if (foreign === undefined) {
            return false;
        }
        response.write(foreign);
        return faults.strike("crossAnswers", path)?.replace ?? false;
    }

    private breakWhereTold(): void {
        const { faults, path } = this.call;
        const fault = faults.peek("breakStreams", path);
        if (fault !== undefined && this.sent >= fault.afterTokens) {
            faults.strike("breakStreams", path);
            // What was written goes out first: the reader sees the tokens, then the break.
            this.call.response.socket?.destroySoon();
        }
    }
}
