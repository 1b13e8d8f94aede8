import { match } from "ts-pattern";
import { abortResponse } from "../../connection/abortResponse.js";
import { createRetryAfterHeader, sendFailure, waitForDrain } from "../../connection/httpResponse.js";
import type { StoredResponse } from "../../process/claims/claimCommand.js";
import type { DispatchRefusal, Placement } from "../../process/entry/poolDispatcher.js";
import type { UsageOutcome } from "../../process/usage/usageCommand.js";
import { definitionOf, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { RequestUsage } from "../admissionQueue.js";
import { callerReadTimeout } from "../callerReadTimeout.js";
import { ServiceClaim } from "../claims/serviceClaim.js";
import { confirmPlacement } from "../confirmPlacement.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { RequestCrashGuard } from "../requestCrashGuard.js";
import { ServiceAttempt } from "./serviceAttempt.js";
import type { ServiceAttemptResult } from "./serviceAttempt.js";
import type { ServiceResponse } from "./serviceResponse.js";

/** Maximum number of attempts for one request. */
const maximumAttempts = 5;

/** `Retry-After` of a refusal that has no more specific value, in milliseconds. */
const defaultRetryAfter: Milliseconds = 1_000;

/** One call of a plain service: claims it if it may run only once, waits for an endpoint and forwards its response. */
export class ServiceRequest {
    private readonly pendingRequest: PendingRequest;
    /** Labels of the call's metrics; the team is `open` on a public route. */
    private readonly labels;
    private readonly claim: ServiceClaim | undefined;
    private readonly crashGuard: RequestCrashGuard;
    /** Whether an endpoint may have run the request. */
    private mayHaveRun = false;
    private endpointTime: Milliseconds = 0;

    constructor(private readonly context: RequestContext) {
        const { resolvedRoute, identity, request } = context;
        const method = request.method ?? "GET";
        const idempotent = (resolvedRoute.route.idempotentMethods as readonly string[]).includes(method);
        this.pendingRequest = createPendingRequest(context, idempotent);
        this.labels = { requestClass: resolvedRoute.requestClass.name, team: identity?.team.name ?? "open" };
        this.crashGuard = new RequestCrashGuard(context);
        const key = request.headers["idempotency-key"];
        this.claim = idempotent ? undefined : new ServiceClaim(context, typeof key === "string" ? key : undefined);
    }

    /** Handles the request until its response has ended. */
    async run(): Promise<void> {
        if (this.claim === undefined) {
            await this.dispatch();
            return;
        }
        const claimResult = await this.claim.claim();
        if (claimResult.err) {
            this.context.metrics.counters.count("claimsUnconfirmed");
            this.fail(claimResult.val, defaultRetryAfter);
            return;
        }
        await match(claimResult.val)
            .with({ kind: "granted" }, () => this.dispatchClaimed())
            .with({ kind: "answered" }, ({ answer }) => {
                this.replay(answer);
            })
            .with({ kind: "answerNotKept" }, ({ status }) => {
                this.fail(failure("answerNotKept", { status }), undefined);
            })
            .with({ kind: "claimed" }, ({ entry }) => {
                this.fail(failure("claimHeld", { entry }), defaultRetryAfter);
            })
            .with({ kind: "unknown" }, () => {
                this.fail(failure("claimOutcomeUnknown"), undefined);
            })
            .with({ kind: "conflict" }, () => {
                this.fail(failure("claimConflict"), undefined);
            })
            .with({ kind: "incarnationEnded" }, () => {
                this.fail(failure("claimUnconfirmed"), defaultRetryAfter);
            })
            .with({ kind: "full" }, () => {
                this.fail(failure("claimsFull"), defaultRetryAfter);
            })
            .exhaustive();
    }

    /** Runs a call whose claim was granted, unless the key was withdrawn while the claim was being confirmed. */
    private async dispatchClaimed(): Promise<void> {
        if (this.context.isKeyValid()) {
            await this.dispatch();
        }
        else {
            this.fail(failure("keyWithdrawn"), undefined);
        }
        if (!this.mayHaveRun) {
            this.claim?.settle({ kind: "notRun" });
        }
    }

    private async dispatch(): Promise<void> {
        const { dispatcher, callerAbortSignal, metrics, retryBudgets } = this.context;
        const heldBack = this.crashGuard.refusal(this.context.clock.now());
        if (heldBack !== undefined) {
            this.handleRefusal(heldBack);
            return;
        }
        retryBudgets.budgetOf(this.labels.requestClass).recordFirstAttempt();
        metrics.counters.count("firstAttempts");
        let placementResult: Result<Placement, DispatchRefusal> = await dispatcher.acquire(
            this.pendingRequest,
            callerAbortSignal,
        );
        if (placementResult.ok) {
            metrics.recordTime(this.labels, "queueWait", placementResult.val.startedAt - this.pendingRequest.arrivedAt);
        }
        for (let attempts = 1; placementResult.ok; attempts++) {
            const placement = placementResult.val;
            const refusal = await confirmPlacement(this.context)
                ?? this.crashGuard.refusal(this.context.clock.now());
            if (refusal !== undefined) {
                dispatcher.abandon(placement);
                this.handleRefusal(refusal);
                return;
            }
            const result = await this.runAttempt(placement);
            this.endpointTime += this.context.clock.now() - placement.startedAt;
            if (result.kind === "answered") {
                dispatcher.release(placement, createRequestUsage(this.endpointTime));
                this.recordUsage("complete");
                return;
            }
            if (!this.shouldAttemptAgain(result, attempts)) {
                dispatcher.abandon(placement);
                this.handleFailedAttempt(result, attempts);
                return;
            }
            metrics.counters.count("retries");
            placementResult = await dispatcher.reacquire(placement, callerAbortSignal);
        }
        this.handleRefusal(placementResult.val);
    }

    /** Makes one attempt and forwards its response, if any. */
    private async runAttempt(placement: Placement): Promise<ServiceAttemptResult> {
        using attempt = new ServiceAttempt(this.context, this.pendingRequest, placement);
        const result = await attempt.run();
        this.mayHaveRun ||= result.kind !== "notRun";
        if (result.kind === "answered") {
            this.crashGuard.recordSound();
            await this.forwardResponse(result.response, attempt);
        }
        else if (result.kind === "unknown") {
            await this.crashGuard.recordLoss(placement.endpoint);
        }
        return result;
    }

    private shouldAttemptAgain(result: ServiceAttemptResult, attempts: number): boolean {
        const safeToRepeat = result.kind === "notRun" || (result.kind === "unknown" && this.pendingRequest.idempotent);
        return safeToRepeat && attempts < maximumAttempts
            && this.context.retryBudgets.budgetOf(this.labels.requestClass).tryTakeRetry();
    }

    /** Ends a call whose last attempt got no response. */
    private handleFailedAttempt(result: Exclude<ServiceAttemptResult, { kind: "answered"; }>, attempts: number): void {
        if (result.kind === "callerLeft") {
            this.context.metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        if (this.mayHaveRun) {
            this.recordUsage("failed");
            this.claim?.settle({ kind: "unknown" });
            this.fail(failure("endpointFailed"), undefined);
            return;
        }
        this.fail(failure(attempts < maximumAttempts ? "retryBudgetSpent" : "endpointRefused"), defaultRetryAfter);
    }

    /**
     * Forwards a response; that of a call that may not be repeated is read to its end even if the caller disconnects.
     */
    private async forwardResponse(serviceResponse: ServiceResponse, attempt: ServiceAttempt): Promise<void> {
        const { response, requestId, metrics, clock, callerAbortSignal } = this.context;
        const headers = { ...serviceResponse.forwardedHeaders(), "x-request-id": requestId };
        if (serviceResponse.isComplete) {
            this.claim?.settleWithResponse(createStoredResponse(serviceResponse));
            const length = this.context.request.method === "HEAD"
                ? {}
                : { "content-length": serviceResponse.beginning.length };
            response.writeHead(serviceResponse.status, { ...headers, ...length });
            response.end(serviceResponse.beginning);
        }
        else {
            this.claim?.settle({ kind: "answeredUnkept", status: serviceResponse.status });
            response.writeHead(serviceResponse.status, headers);
            await this.streamBody(serviceResponse, attempt);
        }
        if (callerAbortSignal.aborted) {
            metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        const totalTime = clock.now() - this.pendingRequest.arrivedAt;
        metrics.recordTime(this.labels, "total", totalTime);
        metrics.countEnd(
            this.labels,
            "answered",
            totalTime <= this.pendingRequest.requestClass.target.totalMilliseconds,
        );
    }

    /**
     * Streams the body with backpressure from the caller to the endpoint; a caller that stops reading is disconnected.
     */
    private async streamBody(serviceResponse: ServiceResponse, attempt: ServiceAttempt): Promise<void> {
        const { response, clock } = this.context;
        try {
            await this.writeChunk(serviceResponse.beginning);
            for await (const chunk of serviceResponse.remainingChunks()) {
                attempt.resetStallTimeout(clock.now());
                await this.writeChunk(chunk);
            }
            response.end();
        }
        catch {
            attempt.recordInterruption(serviceResponse);
            abortResponse(response);
        }
    }

    private async writeChunk(chunk: Buffer): Promise<void> {
        const { response, deadlines, clock } = this.context;
        if (response.destroyed || response.write(chunk)) {
            return;
        }
        const slowCallerTimeout = new AbortController();
        deadlines.set(slowCallerTimeout, clock.now() + callerReadTimeout);
        slowCallerTimeout.signal.addEventListener("abort", () => {
            abortResponse(response);
        }, { once: true });
        await waitForDrain(response);
        deadlines.clear(slowCallerTimeout);
    }

    private recordUsage(outcome: UsageOutcome): void {
        const { usageRecorder: usage, configuration, clock } = this.context;
        const usageRecord = {
            team: this.pendingRequest.team ?? "",
            requestClass: this.pendingRequest.requestClass.name,
            outcome,
            promptTokens: 0,
            cachedTokens: 0,
            outputTokens: 0,
            endpointTime: this.endpointTime,
            finishedAt: clock.unixNow(),
        };
        usage.record(usageRecord, configuration.current);
    }

    private replay(storedResponse: StoredResponse): void {
        const { response, requestId, metrics } = this.context;
        metrics.counters.count("claimsRepeated");
        metrics.countEnd(this.labels, "answered", true);
        response.writeHead(storedResponse.status, {
            "content-type": storedResponse.contentType,
            "content-length": storedResponse.body.length,
            "x-request-id": requestId,
            "x-repeated": "true",
        });
        response.end(storedResponse.body);
    }

    /**
     * Handles a refusal by the queue; if an endpoint may have run the call, the reported failure must not claim that
     * none did.
     */
    private handleRefusal(refusal: DispatchRefusal): void {
        const { metrics, callerAbortSignal } = this.context;
        if (callerAbortSignal.aborted) {
            metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        const reportsKnownOutcome = definitionOf(refusal.failure.code).outcome !== "unknown";
        const reportedFailure = refusal.failure.code === "keyWithdrawnWhileRunning"
            ? failure("keyWithdrawn")
            : refusal.failure;
        this.fail(
            reportsKnownOutcome && this.mayHaveRun ? failure("endpointFailed") : reportedFailure,
            refusal.retryAfter,
        );
    }

    private fail(reportedFailure: Failure, retryAfter: Milliseconds | undefined): void {
        const { response, requestId, metrics, eventLog } = this.context;
        sendFailure(response, reportedFailure, { "x-request-id": requestId, ...createRetryAfterHeader(retryAfter) });
        metrics.countEnd(this.labels, this.mayHaveRun ? "failed" : "refused", false);
        eventLog.write("requestRefused", { requestId, ...this.labels, code: reportedFailure.code });
    }
}

function createPendingRequest(context: RequestContext, idempotent: boolean): PendingRequest {
    const { requestId, resolvedRoute, identity, clock, keyDigest } = context;
    return {
        id: requestId,
        team: identity?.team.name,
        keyName: identity?.key.name,
        keyDigest,
        requestClass: resolvedRoute.requestClass,
        pool: resolvedRoute.pool.name,
        arrivedAt: clock.now(),
        promptTokens: 0,
        maximumOutputTokens: 0,
        affinityDigest: "",
        idempotent,
    };
}

function createRequestUsage(endpointTime: Milliseconds): RequestUsage {
    return { promptTokens: 0, cachedTokens: 0, outputTokens: 0, serviceTime: endpointTime };
}

function createStoredResponse({ status, contentType, beginning }: ServiceResponse): StoredResponse {
    return { status, contentType, body: beginning };
}
