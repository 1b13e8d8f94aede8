import { createHash } from "node:crypto";
import { match } from "ts-pattern";
import { retryAfterHeader } from "../../connection/httpAnswer.js";
import type { Placement, Refused } from "../../process/entry/poolDispatcher.js";
import type { UsageOutcome } from "../../process/usage/usageCommand.js";
import { definitionOf, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { computePrefixDigests } from "../routing/prefixDigests.js";
import type { EngineUsage } from "./engineChunk.js";
import { ModelAttempt } from "./modelAttempt.js";
import type { AttemptEnd } from "./modelAttempt.js";
import type { ModelRequestBody } from "./modelRequestBody.js";
import { AnswerProgress } from "./responseProgress.js";
import { StreamedAnswerWriter, WholeAnswerWriter } from "./responseWriter.js";
import type { AnswerWriter } from "./responseWriter.js";

/** Attempts in a row that may end without a new token. */
const maximumFruitlessAttempts = 5;

/** Attempts in a row that may break off without a new token; a request that breaks engines must not break them all. */
const maximumBrokenAttempts = 3;

/** Leading characters of a prompt that decide which engine may have it cached. */
const prefixCharacters = 1024;

/** When a caller should come back after its class spent its retries, in milliseconds. */
const retryAfterSpentBudget: Milliseconds = 1_000;

/** One model call: waits for an endpoint, passes the answer on, and resumes it elsewhere when it breaks off. */
export class ModelRequest {
    private readonly writer: AnswerWriter;
    private readonly pending: PendingRequest;
    private readonly labels;
    private readonly progress: AnswerProgress;
    private fruitless = 0;
    private broken = 0;
    /** Whether an endpoint may have worked on the request. */
    private mayHaveRun = false;
    private serviceTime: Milliseconds = 0;

    constructor(private readonly context: RequestContext, private readonly body: ModelRequestBody) {
        const { requestId, response, identity, resolvedRoute: resolved } = context;
        const head = { requestId, model: body.model, form: body.form };
        this.writer = body.stream ? new StreamedAnswerWriter(response, head) : new WholeAnswerWriter(response, head);
        this.pending = pendingRequestOf(context, body);
        this.labels = { requestClass: resolved.requestClass.name, team: identity?.team.name ?? "open" };
        this.progress = new AnswerProgress(context.metrics, this.labels, this.pending.arrivedAt);
    }

    /** Tokens of the prompt and of the answer so far; none where no endpoint worked on the request. */
    get tokensUsed(): number {
        return this.mayHaveRun ? this.pending.promptTokens + this.progress.nextToken : 0;
    }

    /** Serves the request to its end. */
    async run(): Promise<void> {
        const { dispatcher, callerAbortSignal: callerLeft, clock, metrics } = this.context;
        this.context.retryBudgets.budgetOf(this.labels.requestClass).recordFirstAttempt();
        metrics.counters.count("firstAttempts");
        let placed: Result<Placement, Refused> = await dispatcher.acquire(this.pending, callerLeft);
        if (placed.ok) {
            metrics.recordTime(this.labels, "queueWait", placed.val.startedAt - this.pending.arrivedAt);
        }
        while (placed.ok) {
            const placement = placed.val;
            const { context, body, pending, writer, progress } = this;
            const before = progress.nextToken;
            const end = await new ModelAttempt({ context, body, pending, writer, progress }, placement).run();
            this.serviceTime += clock.now() - placement.startedAt;
            this.note(end, before);
            if (!this.goesOn(end)) {
                this.conclude(end, placement);
                return;
            }
            this.noteAnotherAttempt(end, placement);
            placed = await dispatcher.reacquire(placement, callerLeft);
        }
        this.refuse(placed.val);
    }

    private note(end: AttemptEnd, tokensBefore: number): void {
        if (end.kind !== "notRun") {
            this.mayHaveRun = true;
        }
        if (this.progress.nextToken > tokensBefore) {
            this.fruitless = 0;
            this.broken = 0;
            return;
        }
        this.fruitless += end.kind === "preempted" ? 0 : 1;
        this.broken += end.kind === "broken" ? 1 : 0;
    }

    /** Whether another attempt is made; one that repeats no token costs nothing of the budget. */
    private goesOn(end: AttemptEnd): boolean {
        if (end.kind === "preempted") {
            return true;
        }
        if (end.kind !== "notRun" && end.kind !== "broken") {
            return false;
        }
        if (this.fruitless >= maximumFruitlessAttempts || this.broken >= maximumBrokenAttempts) {
            return false;
        }
        return this.progress.nextToken > 0
            || this.context.retryBudgets.budgetOf(this.labels.requestClass).tryTakeRetry();
    }

    private noteAnotherAttempt(end: AttemptEnd, placement: Placement): void {
        const { metrics, eventLog, requestId } = this.context;
        const { nextToken } = this.progress;
        if (end.kind === "preempted") {
            metrics.counters.count("preemptions");
        }
        else if (nextToken === 0) {
            metrics.counters.count("retries");
        }
        else {
            metrics.counters.count("resumes");
            const reason = "reason" in end ? end.reason : end.kind;
            eventLog.write("answerResumed", { requestId, endpoint: placement.endpoint.name, nextToken, reason });
        }
    }

    private conclude(end: AttemptEnd, placement: Placement): void {
        const { metrics } = this.context;
        const usage = end.kind === "finished" ? end.usage : undefined;
        this.giveBack(placement, usage);
        this.recordUsage(usage);
        match(end)
            .with({ kind: "finished" }, finished => {
                this.finish(finished.finishReason, finished.usage);
            })
            .with({ kind: "rejected" }, ({ status, body }) => {
                this.reject(status, body);
            })
            .with({ kind: "callerLeft" }, { kind: "preempted" }, () => {
                metrics.countEnd(this.labels, "callerLeft", false);
            })
            .with({ kind: "callerTooSlow" }, () => {
                this.cutCaller();
            })
            .with({ kind: "notRun" }, { kind: "broken" }, ({ reason }) => {
                this.fail(this.lastFailure(), reason);
            })
            .exhaustive();
    }

    /** What was delivered is charged, whole or not. */
    private giveBack(placement: Placement, usage: EngineUsage | undefined): void {
        const { dispatcher } = this.context;
        if (usage === undefined && this.progress.nextToken === 0) {
            dispatcher.abandon(placement);
            return;
        }
        dispatcher.release(placement, {
            promptTokens: usage?.prompt_tokens ?? this.pending.promptTokens,
            cachedTokens: usage?.cached_tokens ?? 0,
            outputTokens: usage?.completion_tokens ?? this.progress.nextToken,
            serviceTime: this.serviceTime,
        });
    }

    /** Has the request billed; tokens that the engine did not count are estimated before the answer is whole. */
    private recordUsage(usage: EngineUsage | undefined): void {
        const { configuration, clock } = this.context;
        const { nextToken } = this.progress;
        const ended = {
            team: this.pending.team ?? "",
            requestClass: this.pending.requestClass.name,
            outcome: this.usageOutcome(usage),
            promptTokens: usage?.prompt_tokens ?? (nextToken > 0 ? this.pending.promptTokens : 0),
            cachedTokens: usage?.cached_tokens ?? 0,
            outputTokens: usage?.completion_tokens ?? nextToken,
            endpointTime: this.serviceTime,
            finishedAt: clock.unixNow(),
        };
        this.context.usage.record(ended, configuration.current);
    }

    private usageOutcome(usage: EngineUsage | undefined): UsageOutcome {
        if (usage !== undefined) {
            return "complete";
        }
        return this.progress.nextToken > 0 ? "cut" : "failed";
    }

    private lastFailure(): Failure {
        if (this.progress.nextToken > 0) {
            return failure("answerCut");
        }
        if (this.mayHaveRun) {
            return failure("endpointFailed");
        }
        const spent = this.fruitless < maximumFruitlessAttempts;
        return failure(spent ? "retryBudgetSpent" : "endpointRefused");
    }

    private finish(finishReason: string, usage: EngineUsage): void {
        this.writer.finish(finishReason, usage);
        const total = this.context.clock.now() - this.pending.arrivedAt;
        this.context.metrics.recordTime(this.labels, "total", total);
        const withinTarget = total <= this.pending.requestClass.target.totalMilliseconds;
        this.context.metrics.countEnd(this.labels, "answered", withinTarget);
    }

    /** A refusal by the queue; for a request that was dispatched before, its words must suit what has happened. */
    private refuse(refused: Refused): void {
        const { requestId, eventLog, metrics, callerAbortSignal: callerLeft } = this.context;
        if (callerLeft.aborted) {
            metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        if (this.mayHaveRun) {
            this.recordUsage(undefined);
        }
        const reported = this.truthful(refused.failure);
        this.writer.fail(reported, retryAfterHeader(refused.retryAfter));
        metrics.countEnd(this.labels, this.mayHaveRun ? "failed" : "refused", false);
        eventLog.write("requestRefused", { requestId, ...this.labels, code: reported.code });
    }

    private truthful(reported: Failure): Failure {
        if (reported.code === "keyWithdrawnWhileRunning") {
            return this.mayHaveRun ? reported : failure("keyWithdrawn");
        }
        const deniesRun = definitionOf(reported.code).outcome === "notRun";
        return deniesRun && this.mayHaveRun ? this.lastFailure() : reported;
    }

    private reject(status: number, body: Buffer): void {
        const { response, requestId, metrics } = this.context;
        if (this.writer.begun) {
            this.fail(failure("answerCut"), `status ${status}`);
            return;
        }
        response.writeHead(status, { "content-type": "application/json", "x-request-id": requestId });
        response.end(body);
        metrics.countEnd(this.labels, "failed", false);
    }

    private cutCaller(): void {
        const { metrics, eventLog, requestId } = this.context;
        metrics.counters.count("callersCut");
        metrics.countEnd(this.labels, "failed", false);
        eventLog.write("callerCut", { requestId });
        this.writer.fail(failure("callerTooSlow"));
    }

    private fail(reported: Failure, reason: string): void {
        const { requestId, eventLog, metrics } = this.context;
        const retryAfter = reported.code === "retryBudgetSpent" ? retryAfterSpentBudget : undefined;
        this.writer.fail(reported, retryAfterHeader(retryAfter));
        metrics.countEnd(this.labels, this.mayHaveRun ? "failed" : "refused", false);
        eventLog.write("requestFailed", { requestId, ...this.labels, endpoint: reason, code: reported.code });
    }
}

function pendingRequestOf(context: RequestContext, body: ModelRequestBody): PendingRequest {
    const { requestId, resolvedRoute: resolved, identity, clock, keyDigest } = context;
    const { route, pool, requestClass } = resolved;
    const longest = requestClass.maximumOutputTokens;
    const model = pool.model ?? body.model;
    const prefix = body.promptText.slice(0, prefixCharacters);
    return {
        id: requestId,
        team: identity?.team.name,
        keyName: identity?.key.name,
        keyDigest,
        requestClass,
        pool: pool.name,
        arrivedAt: clock.now(),
        promptTokens: body.estimatedPromptTokens,
        maximumOutputTokens: Math.min(longest, body.maximumOutputTokens ?? longest),
        prefixDigest: createHash("sha256").update(prefix).digest("hex"),
        prefixDigests: computePrefixDigests(model, body.engineText),
        model,
        version: route.version,
        adapter: route.adapter,
        idempotent: true,
    };
}
