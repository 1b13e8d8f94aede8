import { createHash } from "node:crypto";
import { match } from "ts-pattern";
import { createRetryAfterHeader } from "../../connection/httpResponse.js";
import type { DispatchRefusal, Placement } from "../../process/entry/poolDispatcher.js";
import type { UsageOutcome } from "../../process/usage/usageCommand.js";
import { definitionOf, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import { confirmPlacement } from "../confirmPlacement.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { RequestCrashGuard } from "../requestCrashGuard.js";
import { computePrefixDigests } from "../routing/prefixDigests.js";
import type { EngineUsage } from "./engineChunk.js";
import { ModelAttempt } from "./modelAttempt.js";
import type { ModelAttemptResult } from "./modelAttempt.js";
import type { ModelRequestBody } from "./modelRequestBody.js";
import { ResponseProgress } from "./responseProgress.js";
import { NonStreamingResponseWriter, StreamingResponseWriter } from "./responseWriter.js";
import type { ResponseWriter } from "./responseWriter.js";

/** Maximum number of consecutive attempts that end without a new token. */
const maximumAttemptsWithoutToken = 5;

/**
 * Maximum number of consecutive attempts that are interrupted without a new token; the bound keeps a request that
 * crashes engines from crashing all of them.
 */
const maximumInterruptedAttempts = 3;

/**
 * Number of leading characters of a prompt in its affinity digest, which selects the engines that may have it cached.
 */
const affinityPrefixCharacters = 1024;

/** `Retry-After` of a refusal because the class's retry budget is spent, in milliseconds. */
const retryAfterBudgetSpent: Milliseconds = 1_000;

/**
 * One model call: waits for an endpoint, forwards its response, and resumes it at another endpoint when interrupted.
 */
export class ModelRequest {
    private readonly writer: ResponseWriter;
    private pendingRequest: PendingRequest;
    /** Labels of the request's metrics; the team is `open` on a public route. */
    private readonly labels;
    private readonly progress: ResponseProgress;
    private readonly crashGuard: RequestCrashGuard;
    private attemptsWithoutToken = 0;
    private interruptedAttempts = 0;
    /** Whether an endpoint may have run the request. */
    private mayHaveRun = false;
    private endpointTime: Milliseconds = 0;

    constructor(private readonly context: RequestContext, private readonly body: ModelRequestBody) {
        const { requestId, response, identity, resolvedRoute } = context;
        const metadata = { requestId, model: body.model, api: body.api };
        this.writer = body.stream
            ? new StreamingResponseWriter(response, metadata)
            : new NonStreamingResponseWriter(response, metadata);
        this.pendingRequest = createPendingRequest(context, body);
        this.labels = { requestClass: resolvedRoute.requestClass.name, team: identity?.team.name ?? "open" };
        this.crashGuard = new RequestCrashGuard(context);
        this.progress = new ResponseProgress(context.metrics, this.labels, this.pendingRequest.arrivedAt);
    }

    /** Tokens of the prompt and of the response so far; 0 if no endpoint can have run the request. */
    get tokensUsed(): number {
        return this.mayHaveRun ? this.pendingRequest.promptTokens + this.progress.nextToken : 0;
    }

    /** Handles the request until its response has ended. */
    async run(): Promise<void> {
        const { dispatcher, callerAbortSignal, clock, metrics } = this.context;
        const heldBack = this.crashGuard.refusal(clock.now());
        if (heldBack !== undefined) {
            this.handleRefusal(heldBack);
            return;
        }
        this.context.retryBudgets.budgetOf(this.labels.requestClass).recordFirstAttempt();
        metrics.counters.count("firstAttempts");
        let placementResult: Result<Placement, DispatchRefusal> = await dispatcher.acquire(
            this.pendingRequest,
            callerAbortSignal,
        );
        if (placementResult.ok) {
            metrics.recordTime(this.labels, "queueWait", placementResult.val.startedAt - this.pendingRequest.arrivedAt);
        }
        while (placementResult.ok) {
            const placement = placementResult.val;
            const refusal = await confirmPlacement(this.context) ?? this.crashGuard.refusal(clock.now());
            if (refusal !== undefined) {
                this.releasePlacement(placement, undefined);
                this.handleRefusal(refusal);
                return;
            }
            const { context, body, pendingRequest, writer, progress } = this;
            const tokensBefore = progress.nextToken;
            const result = await new ModelAttempt({ context, body, pendingRequest, writer, progress }, placement).run();
            this.endpointTime += clock.now() - placement.startedAt;
            this.countAttempt(result, tokensBefore);
            await this.recordCrashes(result, placement);
            this.keepVersion(placement);
            if (!this.shouldAttemptAgain(result)) {
                this.handleFinalResult(result, placement);
                return;
            }
            this.recordNextAttempt(result, placement);
            placementResult = await dispatcher.reacquire(
                { ...placement, request: this.pendingRequest },
                callerAbortSignal,
            );
        }
        this.handleRefusal(placementResult.val);
    }

    private async recordCrashes(result: ModelAttemptResult, { endpoint }: Placement): Promise<void> {
        if (result.kind === "broken") {
            await this.crashGuard.recordLoss(endpoint);
        }
        else if (result.kind === "finished") {
            this.crashGuard.recordSound();
        }
    }

    private countAttempt(result: ModelAttemptResult, tokensBefore: number): void {
        if (result.kind !== "notRun") {
            this.mayHaveRun = true;
        }
        if (this.progress.nextToken > tokensBefore) {
            this.attemptsWithoutToken = 0;
            this.interruptedAttempts = 0;
            return;
        }
        this.attemptsWithoutToken += result.kind === "preempted" ? 0 : 1;
        this.interruptedAttempts += result.kind === "broken" ? 1 : 0;
    }

    /** Requires the model version that sent the first token, if it is known, of all further attempts. */
    private keepVersion({ endpoint }: Placement): void {
        const { model, version } = endpoint.lastReport ?? {};
        const isOfModel = model === this.pendingRequest.model;
        if (this.progress.nextToken > 0 && this.pendingRequest.version === undefined && isOfModel) {
            this.pendingRequest = { ...this.pendingRequest, version };
        }
    }

    /** Whether to make another attempt; resuming after a delivered token does not use the retry budget. */
    private shouldAttemptAgain(result: ModelAttemptResult): boolean {
        if (result.kind === "preempted") {
            return true;
        }
        if (result.kind !== "notRun" && result.kind !== "broken") {
            return false;
        }
        if (
            this.attemptsWithoutToken >= maximumAttemptsWithoutToken
            || this.interruptedAttempts >= maximumInterruptedAttempts
        ) {
            return false;
        }
        return this.progress.nextToken > 0
            || this.context.retryBudgets.budgetOf(this.labels.requestClass).tryTakeRetry();
    }

    private recordNextAttempt(result: ModelAttemptResult, placement: Placement): void {
        const { metrics, eventLog, requestId } = this.context;
        const { nextToken } = this.progress;
        if (result.kind === "preempted") {
            metrics.counters.count("preemptions");
        }
        else if (nextToken === 0) {
            metrics.counters.count("retries");
        }
        else {
            metrics.counters.count("resumes");
            const reason = "reason" in result ? result.reason : result.kind;
            eventLog.write("answerResumed", { requestId, endpoint: placement.endpoint.name, nextToken, reason });
        }
    }

    private handleFinalResult(result: ModelAttemptResult, placement: Placement): void {
        const { metrics } = this.context;
        const usage = result.kind === "finished" ? result.usage : undefined;
        this.releasePlacement(placement, usage);
        this.recordUsage(usage);
        match(result)
            .with({ kind: "finished" }, finished => {
                this.finish(finished.finishReason, finished.usage);
            })
            .with({ kind: "rejected" }, ({ status, body }) => {
                this.forwardRejection(status, body);
            })
            .with({ kind: "callerLeft" }, { kind: "preempted" }, () => {
                metrics.countEnd(this.labels, "callerLeft", false);
            })
            .with({ kind: "callerTooSlow" }, () => {
                this.disconnectSlowCaller();
            })
            .with({ kind: "notRun" }, { kind: "broken" }, ({ reason }) => {
                this.fail(this.attemptFailure(), reason);
            })
            .exhaustive();
    }

    /** Releases the placement; delivered tokens are charged to the team even when the response is incomplete. */
    private releasePlacement(placement: Placement, usage: EngineUsage | undefined): void {
        const { dispatcher } = this.context;
        if (usage === undefined && this.progress.nextToken === 0) {
            dispatcher.abandon(placement);
            return;
        }
        dispatcher.release(placement, {
            promptTokens: usage?.prompt_tokens ?? this.pendingRequest.promptTokens,
            cachedTokens: usage?.cached_tokens ?? 0,
            outputTokens: usage?.completion_tokens ?? this.progress.nextToken,
            serviceTime: this.endpointTime,
        });
    }

    /** Records the usage for billing, with estimates if the engine did not send its counts before an interruption. */
    private recordUsage(usage: EngineUsage | undefined): void {
        const { configuration, clock } = this.context;
        const { nextToken } = this.progress;
        const usageRecord = {
            team: this.pendingRequest.team ?? "",
            requestClass: this.pendingRequest.requestClass.name,
            outcome: this.usageOutcome(usage),
            promptTokens: usage?.prompt_tokens ?? (nextToken > 0 ? this.pendingRequest.promptTokens : 0),
            cachedTokens: usage?.cached_tokens ?? 0,
            outputTokens: usage?.completion_tokens ?? nextToken,
            endpointTime: this.endpointTime,
            finishedAt: clock.unixNow(),
        };
        this.context.usageRecorder.record(usageRecord, configuration.current);
    }

    private usageOutcome(usage: EngineUsage | undefined): UsageOutcome {
        if (usage !== undefined) {
            return "complete";
        }
        return this.progress.nextToken > 0 ? "cut" : "failed";
    }

    private attemptFailure(): Failure {
        if (this.progress.nextToken > 0) {
            return failure("answerCut");
        }
        if (this.mayHaveRun) {
            return failure("endpointFailed");
        }
        const budgetSpent = this.attemptsWithoutToken < maximumAttemptsWithoutToken;
        return failure(budgetSpent ? "retryBudgetSpent" : "endpointRefused");
    }

    private finish(finishReason: string, usage: EngineUsage): void {
        this.writer.finish(finishReason, usage);
        const totalTime = this.context.clock.now() - this.pendingRequest.arrivedAt;
        this.context.metrics.recordTime(this.labels, "total", totalTime);
        const withinTarget = totalTime <= this.pendingRequest.requestClass.target.totalMilliseconds;
        this.context.metrics.countEnd(this.labels, "answered", withinTarget);
    }

    /**
     * Handles a refusal by the queue; if an endpoint may have run the request, the reported failure must not claim that
     * none did.
     */
    private handleRefusal(refusal: DispatchRefusal): void {
        const { requestId, eventLog, metrics, callerAbortSignal } = this.context;
        if (this.mayHaveRun) {
            this.recordUsage(undefined);
        }
        if (callerAbortSignal.aborted) {
            metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        const reportedFailure = this.consistentFailure(refusal.failure);
        this.writer.fail(reportedFailure, createRetryAfterHeader(refusal.retryAfter));
        metrics.countEnd(this.labels, this.mayHaveRun ? "failed" : "refused", false);
        eventLog.write("requestRefused", { requestId, ...this.labels, code: reportedFailure.code });
    }

    private consistentFailure(refusalFailure: Failure): Failure {
        if (refusalFailure.code === "keyWithdrawnWhileRunning") {
            return this.mayHaveRun ? refusalFailure : failure("keyWithdrawn");
        }
        const reportsNotRun = definitionOf(refusalFailure.code).outcome === "notRun";
        return reportsNotRun && this.mayHaveRun ? this.attemptFailure() : refusalFailure;
    }

    private forwardRejection(status: number, body: Buffer): void {
        const { response, requestId, metrics } = this.context;
        if (this.writer.hasStarted) {
            this.fail(failure("answerCut"), `status ${status}`);
            return;
        }
        response.writeHead(status, { "content-type": "application/json", "x-request-id": requestId });
        response.end(body);
        metrics.countEnd(this.labels, "failed", false);
    }

    private disconnectSlowCaller(): void {
        const { metrics, eventLog, requestId } = this.context;
        metrics.counters.count("callersCut");
        metrics.countEnd(this.labels, "failed", false);
        eventLog.write("callerCut", { requestId });
        this.writer.fail(failure("callerTooSlow"));
    }

    private fail(reportedFailure: Failure, reason: string): void {
        const { requestId, eventLog, metrics } = this.context;
        const retryAfter = reportedFailure.code === "retryBudgetSpent" ? retryAfterBudgetSpent : undefined;
        this.writer.fail(reportedFailure, createRetryAfterHeader(retryAfter));
        metrics.countEnd(this.labels, this.mayHaveRun ? "failed" : "refused", false);
        eventLog.write("requestFailed", { requestId, ...this.labels, endpoint: reason, code: reportedFailure.code });
    }
}

function createPendingRequest(context: RequestContext, body: ModelRequestBody): PendingRequest {
    const { requestId, resolvedRoute, identity, clock, keyDigest } = context;
    const { route, pool, requestClass } = resolvedRoute;
    const classMaximumOutputTokens = requestClass.maximumOutputTokens;
    const model = pool.model ?? body.model;
    const prefix = body.promptText.slice(0, affinityPrefixCharacters);
    return {
        id: requestId,
        team: identity?.team.name,
        keyName: identity?.key.name,
        keyDigest,
        requestClass,
        pool: pool.name,
        arrivedAt: clock.now(),
        promptTokens: body.estimatedPromptTokens,
        maximumOutputTokens: Math.min(classMaximumOutputTokens, body.maximumOutputTokens ?? classMaximumOutputTokens),
        affinityDigest: createHash("sha256").update(prefix).digest("hex"),
        cachePrefixDigests: computePrefixDigests(model, body.renderedPrompt),
        model,
        version: route.version,
        adapter: route.adapter,
        idempotent: true,
    };
}
