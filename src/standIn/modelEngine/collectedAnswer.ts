import type { StandInCall } from "../standInCall.js";
import { wholeAnswer } from "./answerChunk.js";
import type { AnswerFinish, AnswerHead } from "./answerChunk.js";
import { TokenSink } from "./sequence.js";
import type { MadeToken } from "./sequence.js";

/** Gathers the tokens of an answer that is not streamed, and sends them at its end. */
export class CollectedAnswer extends TokenSink {
    private text = "";

    constructor(
        private readonly call: StandInCall,
        private readonly head: AnswerHead,
        private readonly finish: () => AnswerFinish,
    ) {
        super();
    }

    override get ready(): boolean {
        return true;
    }

    override take(token: MadeToken): void {
        this.text += token.text;
        if (token.last) {
            const headers = { "x-request-id": this.head.id };
            this.call.answer(200, wholeAnswer(this.head, this.text, this.finish()), headers);
        }
    }

    override end(): void {
        this.call.refuse(409, "cancelled");
    }
}
