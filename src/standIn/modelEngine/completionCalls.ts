import { randomUUID } from "node:crypto";
import type { StandInCall } from "../standInCall.js";
import type { AnswerHead, WholeAnswer } from "./answerChunk.js";
import { AnswerPlan, countTokens } from "./answerPlan.js";
import type { Batch } from "./batch.js";
import { CollectedAnswer } from "./collectedAnswer.js";
import { chatBodySchema, maximumTokens, promptText, textBodySchema } from "./completionBody.js";
import type { CompletionBody } from "./completionBody.js";
import type { EngineCounters } from "./engineFigures.js";
import type { EngineOptions } from "./engineOptions.js";
import type { EngineState } from "./engineState.js";
import type { KvTransfers } from "./kvTransfers.js";
import { prefixDigests } from "./prefixCache.js";
import { RecentAnswers } from "./recentAnswers.js";
import { Sequence } from "./sequence.js";
import type { SequenceRequest, TokenSink } from "./sequence.js";
import type { StepLoop } from "./stepLoop.js";
import { StreamedAnswer } from "./streamedAnswer.js";

/** Requests whose newest answer can be crossed into another. */
const recentLimit = 64;

/** The parts of an engine that completions use. */
export interface CompletionParts {
    readonly state: EngineState;
    readonly batch: Batch;
    readonly loop: StepLoop;
    readonly counters: EngineCounters;
    readonly transfers: KvTransfers;
}

/** Handles the calls that start and stop completions. */
export class CompletionCalls {
    private readonly recentChunks = new RecentAnswers<string>(recentLimit);
    private readonly recentWholes = new RecentAnswers<WholeAnswer>(recentLimit);

    constructor(private readonly options: EngineOptions, private readonly engine: CompletionParts) {}

    /** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
    complete(call: StandInCall, form: AnswerHead["form"]): void {
        const body = form === "chat" ? call.json(chatBodySchema) : call.json(textBodySchema);
        if (body.err) {
            call.refuse(400, body.val);
            return;
        }
        if (this.engine.state.leaving) {
            call.refuseNotRun(503, "leaving", { "x-leaving": "true" });
            return;
        }
        const { model, version, adapter } = body.val;
        if (!this.engine.state.serves(model, version, adapter)) {
            call.refuse(404, `model ${model} is not loaded in this form`, { "x-not-run": "true" });
            return;
        }
        this.submit(call, body.val, form);
    }

    /** Handles `POST /v1/requests/ID/cancel`. */
    cancel(call: StandInCall, id: string): void {
        const sequence = this.engine.batch.find(id);
        if (sequence === undefined) {
            call.refuse(404, "no such request runs");
            return;
        }
        this.engine.batch.remove(sequence, "cancelled");
        call.answer(204);
    }

    private submit(call: StandInCall, body: CompletionBody, form: AnswerHead["form"]): void {
        const head = { id: call.header("x-request-id") ?? randomUUID(), model: body.model, form };
        const request = this.sequenceRequest(call, body, head);
        if (request === undefined) {
            call.refuse(400, "resume_text is not the text of the tokens before resume_at", { "x-not-run": "true" });
            return;
        }
        if (request.firstToken === request.endToken) {
            request.sink.finish(new Sequence(request, 0).finish);
            return;
        }
        const sequence = this.engine.batch.submit(request);
        if (sequence === undefined) {
            this.engine.counters.add({ refused: 1 });
            call.refuseNotRun(429, "too many requests wait");
            return;
        }
        this.start(call, sequence);
    }

    private sequenceRequest(call: StandInCall, body: CompletionBody, head: AnswerHead): SequenceRequest | undefined {
        const { model, priority, resume_at: firstToken } = body;
        const prompt = promptText(body);
        const plan = new AnswerPlan(model, prompt);
        const endToken = plan.length(maximumTokens(body));
        if (firstToken > endToken || plan.text(0, firstToken) !== body.resume_text) {
            return undefined;
        }
        return {
            id: head.id,
            model,
            prompt,
            priority,
            plan,
            firstToken,
            endToken,
            promptTokens: countTokens(prompt),
            digests: prefixDigests(model, prompt),
            importedTokens: this.engine.transfers.importedTokens(head.id, model, prompt),
            sink: this.sink(call, head, body.stream),
        };
    }

    private start(call: StandInCall, sequence: Sequence): void {
        this.engine.counters.add({ accepted: 1 });
        call.response.once("close", () => {
            this.close(sequence);
        });
        this.engine.loop.notify();
    }

    private sink(call: StandInCall, head: AnswerHead, stream: boolean): TokenSink {
        const bufferedBytes = this.options.bufferedBytesPerStream;
        return stream
            ? new StreamedAnswer(call, { head, bufferedBytes, recent: this.recentChunks })
            : new CollectedAnswer(call, head, this.recentWholes);
    }

    private close(sequence: Sequence): void {
        this.engine.transfers.keep(sequence);
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
