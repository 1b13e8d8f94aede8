import type { StandInCall } from "../standInCall.js";
import { wholeAnswer } from "./answerChunk.js";
import type { AnswerFinish, AnswerHead, WholeAnswer } from "./answerChunk.js";
import type { RecentAnswers } from "./recentAnswers.js";
import { TokenSink } from "./sequence.js";
import type { MadeToken, SequenceEnd } from "./sequence.js";

/** Gathers the tokens of an answer that is not streamed, and sends them at its end. */
export class CollectedAnswer extends TokenSink {
    private text = "";

    constructor(
        private readonly call: StandInCall,
        private readonly head: AnswerHead,
        private readonly recent: RecentAnswers<WholeAnswer>,
    ) {
        super();
    }

    override get ready(): boolean {
        return true;
    }

    override take(token: MadeToken): void {
        this.text += token.text;
        if (token.finish !== undefined) {
            this.finish(token.finish);
        }
    }

    override finish(finish: AnswerFinish): void {
        const own = wholeAnswer(this.head, this.text, finish);
        const other = this.recent.ofAnother(this.head.id);
        this.recent.note(this.head.id, own);
        const crossed = other !== undefined && this.call.faults.strike("crossAnswers", this.call.path) !== undefined;
        const sent = crossed ? other : own;
        this.call.answer(200, sent, { "x-request-id": sent.id });
    }

    override end(reason: Exclude<SequenceEnd, "finished">): void {
        if (reason === "crashed") {
            this.call.drop();
        }
        else {
            this.call.refuse(409, "cancelled");
        }
    }
}
