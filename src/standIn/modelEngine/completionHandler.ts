import { randomUUID } from "node:crypto";
import type { StandInCall } from "../standInCall.js";
import type { Batch } from "./batch.js";
import { BufferedCompletion } from "./bufferedCompletion.js";
import { chatBodySchema, maximumTokens, promptText, textBodySchema } from "./completionBody.js";
import type { CompletionBody } from "./completionBody.js";
import type { CompletionHead, CompletionResponse } from "./completionFormat.js";
import { countTokens, DeterministicCompletion } from "./deterministicCompletion.js";
import type { EngineCounters } from "./engineCounters.js";
import type { EngineOptions } from "./engineOptions.js";
import type { EngineState } from "./engineState.js";
import type { KvTransfers } from "./kvTransfers.js";
import { prefixDigests } from "./prefixCache.js";
import { RecentResponses } from "./recentResponses.js";
import { Sequence } from "./sequence.js";
import type { SequenceRequest, TokenSink } from "./sequence.js";
import type { StepLoop } from "./stepLoop.js";
import { StreamedCompletion } from "./streamedCompletion.js";

/** Number of requests whose latest response is kept for the `crossAnswers` fault. */
const recentResponseLimit = 64;

/** The parts of an engine that completions need. */
export interface CompletionDependencies {
    readonly state: EngineState;
    readonly batch: Batch;
    readonly loop: StepLoop;
    readonly counters: EngineCounters;
    readonly transfers: KvTransfers;
}

/** Handles the calls that start and cancel completions. */
export class CompletionHandler {
    private readonly recentChunks = new RecentResponses<string>(recentResponseLimit);
    private readonly recentCompletions = new RecentResponses<CompletionResponse>(recentResponseLimit);

    constructor(private readonly options: EngineOptions, private readonly engine: CompletionDependencies) {}

    /** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
    handleCompletion(call: StandInCall, form: CompletionHead["form"]): void {
        const body = form === "chat" ? call.parseBody(chatBodySchema) : call.parseBody(textBodySchema);
        if (body.err) {
            call.respondWithError(400, body.val);
            return;
        }
        if (this.engine.state.leaving) {
            call.respondNotExecuted(503, "leaving", { "x-leaving": "true" });
            return;
        }
        const { model, version, adapter } = body.val;
        if (!this.engine.state.serves(model, version, adapter)) {
            call.respondWithError(404, `model ${model} is not loaded in this form`, {
                "x-not-run": "true",
            });
            return;
        }
        this.submit(call, body.val, form);
    }

    /** Handles `POST /v1/requests/ID/cancel`. */
    handleCancel(call: StandInCall, id: string): void {
        const sequence = this.engine.batch.find(id);
        if (sequence === undefined) {
            call.respondWithError(404, "no such request runs");
            return;
        }
        this.engine.batch.remove(sequence, "cancelled");
        call.respond(204);
    }

    private submit(call: StandInCall, body: CompletionBody, form: CompletionHead["form"]): void {
        const head = { id: call.header("x-request-id") ?? randomUUID(), model: body.model, form };
        const request = this.buildSequenceRequest(call, body, head);
        if (request === undefined) {
            call.respondWithError(400, "resume_text is not the text of the tokens before resume_at", {
                "x-not-run": "true",
            });
            return;
        }
        if (request.firstToken === request.endToken) {
            request.sink.finish(new Sequence(request, 0).finish);
            return;
        }
        const sequence = this.engine.batch.submit(request);
        if (sequence === undefined) {
            this.engine.counters.add({ refused: 1 });
            call.respondNotExecuted(429, "too many requests wait");
            return;
        }
        this.startSequence(call, sequence);
    }

    private buildSequenceRequest(
        call: StandInCall,
        body: CompletionBody,
        head: CompletionHead,
    ): SequenceRequest | undefined {
        const { model, priority, resume_at: firstToken } = body;
        const prompt = promptText(body);
        const completion = new DeterministicCompletion(model, prompt);
        const endToken = completion.tokenCount(maximumTokens(body));
        if (firstToken > endToken || completion.text(0, firstToken) !== body.resume_text) {
            return undefined;
        }
        return {
            id: head.id,
            model,
            prompt,
            priority,
            completion,
            firstToken,
            endToken,
            promptTokens: countTokens(prompt),
            digests: prefixDigests(model, prompt),
            importedTokens: this.engine.transfers.importedTokens(head.id, model, prompt),
            sink: this.createSink(call, head, body.stream),
        };
    }

    private startSequence(call: StandInCall, sequence: Sequence): void {
        this.engine.counters.add({ accepted: 1 });
        call.response.once("close", () => {
            this.handleClose(sequence);
        });
        this.engine.loop.wake();
    }

    private createSink(call: StandInCall, head: CompletionHead, stream: boolean): TokenSink {
        const bufferedBytes = this.options.bufferedBytesPerStream;
        return stream
            ? new StreamedCompletion(call, { head, bufferedBytes, recentChunks: this.recentChunks })
            : new BufferedCompletion(call, head, this.recentCompletions);
    }

    private handleClose(sequence: Sequence): void {
        this.engine.transfers.recordContext(sequence);
        this.engine.batch.remove(sequence, "cancelled");
        this.engine.counters.add({
            finished: sequence.complete ? 1 : 0,
            cancelled: sequence.complete ? 0 : 1,
            promptTokens: sequence.request.promptTokens,
            cachedTokens: sequence.cachedTokens ?? 0,
            prefilledTokens: sequence.prefilledTokens,
            tokensMade: sequence.nextToken - sequence.request.firstToken,
            preemptions: sequence.preemptions,
        });
    }
}
