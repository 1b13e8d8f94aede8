import { randomUUID } from "node:crypto";
import type { StandInCall } from "../standInCall.js";
import type { AnswerFinish, AnswerHead } from "./answerChunk.js";
import { AnswerPlan, countTokens } from "./answerPlan.js";
import type { Batch } from "./batch.js";
import { CollectedAnswer } from "./collectedAnswer.js";
import { chatBodySchema, maximumTokens, promptText, textBodySchema } from "./completionBody.js";
import type { CompletionBody } from "./completionBody.js";
import type { EngineCounters } from "./engineFigures.js";
import type { EngineOptions } from "./engineOptions.js";
import type { EngineState } from "./engineState.js";
import { RecentChunks } from "./recentChunks.js";
import type { Sequence, SequenceRequest, TokenSink } from "./sequence.js";
import type { StepLoop } from "./stepLoop.js";
import { StreamedAnswer } from "./streamedAnswer.js";

/** Requests whose newest chunk can be crossed into another answer. */
const recentChunkLimit = 64;

/** Handles the calls that start and stop completions. */
export class CompletionCalls {
    private readonly recentChunks = new RecentChunks(recentChunkLimit);

    constructor(
        private readonly options: EngineOptions,
        private readonly state: EngineState,
        private readonly batch: Batch,
        private readonly loop: StepLoop,
        private readonly counters: EngineCounters,
    ) {}

    /** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
    complete(call: StandInCall, form: AnswerHead["form"]): void {
        const body = form === "chat" ? call.json(chatBodySchema) : call.json(textBodySchema);
        if (body.err) {
            call.refuse(400, body.val);
            return;
        }
        if (this.state.leaving) {
            call.refuseNotRun(503, "leaving", { "x-leaving": "true" });
            return;
        }
        const { model, version, adapter } = body.val;
        if (!this.state.serves(model, version, adapter)) {
            call.refuse(404, `model ${model} is not loaded in this form`, { "x-not-run": "true" });
            return;
        }
        this.submit(call, body.val, form);
    }

    /** Handles `POST /v1/requests/ID/cancel`. */
    cancel(call: StandInCall, id: string): void {
        const sequence = this.batch.find(id);
        if (sequence === undefined) {
            call.refuse(404, "no such request runs");
            return;
        }
        this.batch.remove(sequence, "cancelled");
        call.answer(204);
    }

    private submit(call: StandInCall, body: CompletionBody, form: AnswerHead["form"]): void {
        const head = { id: call.header("x-request-id") ?? randomUUID(), model: body.model, form };
        const prompt = promptText(body);
        const plan = new AnswerPlan(body.model, prompt);
        if (plan.text(0, body.resume_at) !== body.resume_text) {
            call.refuse(400, "resume_text is not the text of the tokens before resume_at", { "x-not-run": "true" });
            return;
        }
        const finish = (): AnswerFinish => this.finish(sequence, body);
        const request: SequenceRequest = {
            id: head.id,
            model: body.model,
            prompt,
            priority: body.priority,
            plan,
            firstToken: body.resume_at,
            endToken: Math.max(plan.length(maximumTokens(body)), body.resume_at + 1),
            promptTokens: countTokens(prompt),
            sink: this.sink(call, head, body.stream, finish),
        };
        const sequence = this.batch.submit(request);
        if (sequence === undefined) {
            this.counters.add({ refused: 1 });
            call.refuseNotRun(429, "too many requests wait");
            return;
        }
        this.start(call, sequence);
    }

    private start(call: StandInCall, sequence: Sequence): void {
        this.counters.add({ accepted: 1 });
        call.response.once("close", () => {
            this.close(sequence);
        });
        this.loop.notify();
    }

    private sink(call: StandInCall, head: AnswerHead, stream: boolean, finish: () => AnswerFinish): TokenSink {
        const { recentChunks } = this;
        const bufferedBytes = this.options.bufferedBytesPerStream;
        return stream
            ? new StreamedAnswer(call, { head, bufferedBytes, recentChunks, finish })
            : new CollectedAnswer(call, head, finish);
    }

    private finish(sequence: Sequence | undefined, body: CompletionBody): AnswerFinish {
        if (sequence === undefined) {
            throw new Error("an answer ends only after its sequence was submitted");
        }
        const { plan, endToken, promptTokens } = sequence.request;
        const usage = {
            prompt_tokens: promptTokens,
            completion_tokens: sequence.nextToken,
            cached_tokens: sequence.cachedTokens ?? 0,
        };
        this.counters.add({ finished: 1, promptTokens, cachedTokens: usage.cached_tokens });
        const limited = endToken < plan.naturalLength && maximumTokens(body) !== undefined;
        return { reason: limited ? "length" : "stop", usage };
    }

    private close(sequence: Sequence): void {
        this.batch.remove(sequence, "cancelled");
        this.counters.add({
            cancelled: sequence.complete ? 0 : 1,
            tokensMade: sequence.nextToken - sequence.request.firstToken,
            preemptions: sequence.preemptions,
        });
    }
}
