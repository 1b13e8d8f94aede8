import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { pipeline } from "node:stream/promises";
import { answerFailure, retryAfterHeader } from "../../connection/httpAnswer.js";
import type { Placement } from "../../process/entry/poolDispatcher.js";
import type { UsageOutcome } from "../../process/usage/usageCommand.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";

/** Endpoints that are tried for one request at most. */
const maximumAttempts = 4;

/** Request headers that go on to the endpoint; all others stay behind. */
const forwardedRequestHeaders = [
    "accept",
    "accept-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-none-match",
];

/** Answer headers that go back to the caller. */
const forwardedAnswerHeaders = [
    "content-type",
    "content-language",
    "etag",
    "last-modified",
    "location",
    "cache-control",
];

/** How an attempt at one endpoint ended. */
type AttemptEnd = "answered" | "notRun" | "unknown" | "callerLeft";

/** One call of a plain service: waits for an endpoint and passes the answer on. */
export class ServiceRequest {
    private readonly pending: PendingRequest;
    private readonly labels;
    private endpointTime: Milliseconds = 0;

    constructor(private readonly context: RequestContext) {
        const { requestId, resolved, identity, clock, request } = context;
        const method = request.method ?? "GET";
        this.pending = {
            id: requestId,
            team: identity?.team.name,
            keyName: identity?.key.name,
            requestClass: resolved.requestClass,
            pool: resolved.pool.name,
            arrivedAt: clock.now(),
            promptTokens: 0,
            maximumOutputTokens: 0,
            prefixDigest: "",
            idempotent: (resolved.route.idempotentMethods as readonly string[]).includes(method),
        };
        this.labels = { requestClass: resolved.requestClass.name, team: identity?.team.name ?? "open" };
    }

    /** Serves the request to its end. */
    async run(): Promise<void> {
        const { dispatcher, callerLeft } = this.context;
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const placement = await dispatcher.acquire(this.pending, callerLeft);
            if (placement.err) {
                this.fail(placement.val.failure, placement.val.retryAfter);
                return;
            }
            const end = await this.attempt(placement.val);
            if (end === "answered" || end === "callerLeft") {
                return;
            }
            if (end === "unknown" && !this.pending.idempotent) {
                this.recordUsage("failed");
                this.fail(failure("endpointFailed"), undefined);
                return;
            }
        }
        this.fail(failure(this.pending.idempotent ? "endpointFailed" : "endpointRefused"), undefined);
    }

    private async attempt(placement: Placement): Promise<AttemptEnd> {
        const { clock, clients, metrics, request, body, callerLeft, dispatcher } = this.context;
        metrics.recordTime(this.labels, "queueWait", placement.startedAt - this.pending.arrivedAt);
        try {
            const sent = await clients.for(placement.endpoint.description.address).send({
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers: this.forwardedHeaders(),
                body,
                signal: callerLeft,
            });
            if (sent.kind === "error") {
                return callerLeft.aborted ? "callerLeft" : sent.error.sent ? "unknown" : "notRun";
            }
            if (sent.message.headers["x-not-run"] === "true") {
                sent.message.resume();
                return "notRun";
            }
            return await this.passOn(sent.message);
        }
        finally {
            const serviceTime = clock.now() - placement.startedAt;
            this.endpointTime += serviceTime;
            dispatcher.release(placement, { promptTokens: 0, cachedTokens: 0, outputTokens: 0, serviceTime });
        }
    }

    private async passOn(message: IncomingMessage): Promise<AttemptEnd> {
        const { response, requestId, clock, metrics } = this.context;
        const headers: OutgoingHttpHeaders = { "x-request-id": requestId };
        for (const name of forwardedAnswerHeaders) {
            headers[name] = message.headers[name];
        }
        response.writeHead(message.statusCode ?? 502, withoutUndefined(headers));
        try {
            await pipeline(message, response);
        }
        catch {
            response.destroy();
            metrics.countEnd(this.labels, "failed", false);
            return "callerLeft";
        }
        const total = clock.now() - this.pending.arrivedAt;
        this.recordUsage("complete");
        metrics.recordTime(this.labels, "total", total);
        metrics.countEnd(this.labels, "answered", total <= this.pending.requestClass.target.totalMilliseconds);
        return "answered";
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

    private forwardedHeaders(): OutgoingHttpHeaders {
        const headers: OutgoingHttpHeaders = { "x-request-id": this.pending.id };
        for (const name of forwardedRequestHeaders) {
            headers[name] = this.context.request.headers[name];
        }
        return withoutUndefined(headers);
    }

    private fail(reported: Failure, retryAfter: number | undefined): void {
        const { response, requestId, metrics, eventLog } = this.context;
        answerFailure(response, reported, { "x-request-id": requestId, ...retryAfterHeader(retryAfter) });
        metrics.countEnd(this.labels, "refused", false);
        eventLog.write("requestRefused", { requestId, ...this.labels, code: reported.code });
    }
}

function withoutUndefined(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined));
}
