import type { StandInCall } from "../standInCall.js";
import { buildCompletionResponse } from "./completionFormat.js";
import type { CompletionFinish, CompletionHead, CompletionResponse } from "./completionFormat.js";
import type { RecentResponses } from "./recentResponses.js";
import { TokenSink } from "./sequence.js";
import type { GeneratedToken, SequenceEndReason } from "./sequence.js";

/** Buffers the tokens of a completion that is not streamed, and responds when it is finished. */
export class BufferedCompletion extends TokenSink {
    private text = "";

    constructor(
        private readonly call: StandInCall,
        private readonly head: CompletionHead,
        private readonly recentCompletions: RecentResponses<CompletionResponse>,
    ) {
        super();
    }

    override get ready(): boolean {
        return true;
    }

    override push(token: GeneratedToken): void {
        this.text += token.text;
        if (token.finish !== undefined) {
            this.finish(token.finish);
        }
    }

    override finish(finish: CompletionFinish): void {
        const ownResponse = buildCompletionResponse(this.head, this.text, finish);
        const otherResponse = this.recentCompletions.ofOtherRequest(this.head.id);
        this.recentCompletions.add(this.head.id, ownResponse);
        const isCrossed = otherResponse !== undefined
            && this.call.faults.consume("crossAnswers", this.call.path) !== undefined;
        const sentResponse = isCrossed ? otherResponse : ownResponse;
        this.call.respond(200, sentResponse, { "x-request-id": sentResponse.id });
    }

    override abort(reason: Exclude<SequenceEndReason, "finished">): void {
        if (reason === "crashed") {
            this.call.destroyConnection();
        }
        else {
            this.call.respondWithError(409, "cancelled");
        }
    }
}
