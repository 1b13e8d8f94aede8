import { match } from "ts-pattern";
import { answerFailure, retryAfterHeader } from "../../connection/httpAnswer.js";
import { drained } from "../../connection/httpAnswer.js";
import type { StoredResponse } from "../../process/claims/claimCommand.js";
import type { Placement, Refused } from "../../process/entry/poolDispatcher.js";
import type { UsageOutcome } from "../../process/usage/usageCommand.js";
import { definitionOf, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import type { RequestUsage } from "../admissionQueue.js";
import { callerReadTimeout } from "../callerReadTimeout.js";
import { ServiceClaim } from "../claims/serviceClaim.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { ServiceAttempt } from "./serviceAttempt.js";
import type { ServiceAttemptEnd } from "./serviceAttempt.js";
import type { ServiceAnswer } from "./serviceResponse.js";

/** Endpoints that are tried for one request at most. */
const maximumAttempts = 5;

/** When a caller should come back after a refusal that says nothing better, in milliseconds. */
const usualRetryAfter: Milliseconds = 1_000;

/** One call of a plain service: claims it where it may run only once, waits for an endpoint, passes the answer on. */
export class ServiceRequest {
    private readonly pending: PendingRequest;
    private readonly labels;
    private readonly claim: ServiceClaim | undefined;
    /** Whether an endpoint may have worked on the request. */
    private mayHaveRun = false;
    private endpointTime: Milliseconds = 0;

    constructor(private readonly context: RequestContext) {
        const { resolvedRoute: resolved, identity, request } = context;
        const method = request.method ?? "GET";
        const idempotent = (resolved.route.idempotentMethods as readonly string[]).includes(method);
        this.pending = pendingRequestOf(context, idempotent);
        this.labels = { requestClass: resolved.requestClass.name, team: identity?.team.name ?? "open" };
        const key = request.headers["idempotency-key"];
        this.claim = idempotent ? undefined : new ServiceClaim(context, typeof key === "string" ? key : undefined);
    }

    /** Serves the request to its end. */
    async run(): Promise<void> {
        if (this.claim === undefined) {
            await this.serve();
            return;
        }
        const claimed = await this.claim.claim();
        if (claimed.err) {
            this.context.metrics.counters.count("claimsUnconfirmed");
            this.fail(claimed.val, usualRetryAfter);
            return;
        }
        await match(claimed.val)
            .with({ kind: "granted" }, () => this.serveOnce())
            .with({ kind: "answered" }, ({ answer }) => {
                this.replay(answer);
            })
            .with({ kind: "answerNotKept" }, ({ status }) => {
                this.fail(failure("answerNotKept", { status }), undefined);
            })
            .with({ kind: "claimed" }, ({ entry }) => {
                this.fail(failure("claimHeld", { entry }), usualRetryAfter);
            })
            .with({ kind: "unknown" }, () => {
                this.fail(failure("claimOutcomeUnknown"), undefined);
            })
            .with({ kind: "conflict" }, () => {
                this.fail(failure("claimConflict"), undefined);
            })
            .with({ kind: "incarnationEnded" }, () => {
                this.fail(failure("claimUnconfirmed"), usualRetryAfter);
            })
            .with({ kind: "full" }, () => {
                this.fail(failure("claimsFull"), usualRetryAfter);
            })
            .exhaustive();
    }

    /** Serves a granted call; the key may have been withdrawn while the claim was confirmed. */
    private async serveOnce(): Promise<void> {
        if (this.context.isKeyValid()) {
            await this.serve();
        }
        else {
            this.fail(failure("keyWithdrawn"), undefined);
        }
        if (!this.mayHaveRun) {
            this.claim?.settle({ kind: "notRun" });
        }
    }

    private async serve(): Promise<void> {
        const { dispatcher, callerAbortSignal: callerLeft, metrics, retryBudgets } = this.context;
        retryBudgets.budgetOf(this.labels.requestClass).recordFirstAttempt();
        metrics.counters.count("firstAttempts");
        let placed: Result<Placement, Refused> = await dispatcher.acquire(this.pending, callerLeft);
        if (placed.ok) {
            metrics.recordTime(this.labels, "queueWait", placed.val.startedAt - this.pending.arrivedAt);
        }
        for (let attempts = 1; placed.ok; attempts++) {
            const placement = placed.val;
            const end = await this.attempt(placement);
            this.endpointTime += this.context.clock.now() - placement.startedAt;
            if (end.kind === "answered") {
                dispatcher.release(placement, useOf(this.endpointTime));
                this.recordUsage("complete");
                return;
            }
            if (!this.goesOn(end, attempts)) {
                dispatcher.abandon(placement);
                this.conclude(end, attempts);
                return;
            }
            metrics.counters.count("retries");
            placed = await dispatcher.reacquire(placement, callerLeft);
        }
        this.refuse(placed.val);
    }

    /** Makes one attempt, and passes the answer on where one came. */
    private async attempt(placement: Placement): Promise<ServiceAttemptEnd> {
        using attempt = new ServiceAttempt(this.context, this.pending, placement);
        const end = await attempt.run();
        this.mayHaveRun ||= end.kind !== "notRun";
        if (end.kind === "answered") {
            await this.passOn(end.answer, attempt);
        }
        return end;
    }

    private goesOn(end: ServiceAttemptEnd, attempts: number): boolean {
        const safe = end.kind === "notRun" || (end.kind === "unknown" && this.pending.idempotent);
        return safe && attempts < maximumAttempts
            && this.context.retryBudgets.budgetOf(this.labels.requestClass).tryTakeRetry();
    }

    /** Ends a call that got no answer. */
    private conclude(end: Exclude<ServiceAttemptEnd, { kind: "answered"; }>, attempts: number): void {
        if (end.kind === "callerLeft") {
            this.context.metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        if (this.mayHaveRun) {
            this.recordUsage("failed");
            this.claim?.settle({ kind: "unknown" });
            this.fail(failure("endpointFailed"), undefined);
            return;
        }
        this.fail(failure(attempts < maximumAttempts ? "retryBudgetSpent" : "endpointRefused"), usualRetryAfter);
    }

    /** Passes an answer on; a call that may not be repeated is read to its end though its caller has left. */
    private async passOn(answer: ServiceAnswer, attempt: ServiceAttempt): Promise<void> {
        const { response, requestId, metrics, clock, callerAbortSignal: callerLeft } = this.context;
        const headers = { ...answer.headers(), "x-request-id": requestId };
        if (answer.whole) {
            this.claim?.settleAnswer(storedAnswerOf(answer));
            const length = this.context.request.method === "HEAD" ? {} : { "content-length": answer.beginning.length };
            response.writeHead(answer.status, { ...headers, ...length });
            response.end(answer.beginning);
        }
        else {
            this.claim?.settle({ kind: "answeredUnkept", status: answer.status });
            response.writeHead(answer.status, headers);
            await this.passOnParts(answer, attempt);
        }
        if (callerLeft.aborted) {
            metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        const total = clock.now() - this.pending.arrivedAt;
        metrics.recordTime(this.labels, "total", total);
        metrics.countEnd(this.labels, "answered", total <= this.pending.requestClass.target.totalMilliseconds);
    }

    /** A caller that reads slowly holds the endpoint up; one that stops reading is cut off. */
    private async passOnParts(answer: ServiceAnswer, attempt: ServiceAttempt): Promise<void> {
        const { response, clock } = this.context;
        try {
            await this.write(answer.beginning);
            for await (const chunk of answer.rest()) {
                attempt.noteProgress(clock.now());
                await this.write(chunk);
            }
            response.end();
        }
        catch {
            response.destroy();
        }
    }

    private async write(chunk: Buffer): Promise<void> {
        const { response, deadlines, clock } = this.context;
        if (response.destroyed || response.write(chunk)) {
            return;
        }
        const unread = new AbortController();
        deadlines.set(unread, clock.now() + callerReadTimeout);
        unread.signal.addEventListener("abort", () => {
            response.destroy();
        }, { once: true });
        await drained(response);
        deadlines.clear(unread);
    }

    private recordUsage(outcome: UsageOutcome): void {
        const { usage, configuration, clock } = this.context;
        const ended = {
            team: this.pending.team ?? "",
            requestClass: this.pending.requestClass.name,
            outcome,
            promptTokens: 0,
            cachedTokens: 0,
            outputTokens: 0,
            endpointTime: this.endpointTime,
            finishedAt: clock.unixNow(),
        };
        usage.record(ended, configuration.current);
    }

    private replay(answer: StoredResponse): void {
        const { response, requestId, metrics } = this.context;
        metrics.counters.count("claimsRepeated");
        metrics.countEnd(this.labels, "answered", true);
        response.writeHead(answer.status, {
            "content-type": answer.contentType,
            "content-length": answer.body.length,
            "x-request-id": requestId,
            "x-repeated": "true",
        });
        response.end(answer.body);
    }

    /** A refusal by the queue; after an attempt that may have run, it must not deny that. */
    private refuse(refused: Refused): void {
        const { metrics, callerAbortSignal: callerLeft } = this.context;
        if (callerLeft.aborted) {
            metrics.countEnd(this.labels, "callerLeft", false);
            return;
        }
        const deniesRun = definitionOf(refused.failure.code).outcome !== "unknown";
        const reported = refused.failure.code === "keyWithdrawnWhileRunning"
            ? failure("keyWithdrawn")
            : refused.failure;
        this.fail(deniesRun && this.mayHaveRun ? failure("endpointFailed") : reported, refused.retryAfter);
    }

    private fail(reported: Failure, retryAfter: Milliseconds | undefined): void {
        const { response, requestId, metrics, eventLog } = this.context;
        answerFailure(response, reported, { "x-request-id": requestId, ...retryAfterHeader(retryAfter) });
        metrics.countEnd(this.labels, this.mayHaveRun ? "failed" : "refused", false);
        eventLog.write("requestRefused", { requestId, ...this.labels, code: reported.code });
    }
}

function pendingRequestOf(context: RequestContext, idempotent: boolean): PendingRequest {
    const { requestId, resolvedRoute: resolved, identity, clock, keyDigest } = context;
    return {
        id: requestId,
        team: identity?.team.name,
        keyName: identity?.key.name,
        keyDigest,
        requestClass: resolved.requestClass,
        pool: resolved.pool.name,
        arrivedAt: clock.now(),
        promptTokens: 0,
        maximumOutputTokens: 0,
        prefixDigest: "",
        idempotent,
    };
}

function useOf(serviceTime: Milliseconds): RequestUsage {
    return { promptTokens: 0, cachedTokens: 0, outputTokens: 0, serviceTime };
}

function storedAnswerOf({ status, contentType, beginning }: ServiceAnswer): StoredResponse {
    return { status, contentType, body: beginning };
}
