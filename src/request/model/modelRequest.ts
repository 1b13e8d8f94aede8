import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { match } from "ts-pattern";
import { retryAfterHeader } from "../../connection/httpAnswer.js";
import type { Placement, Refused } from "../../process/entry/poolDispatcher.js";
import type { UsageOutcome } from "../../process/usage/usageCommand.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { StreamedAnswerWriter, WholeAnswerWriter } from "./answerWriter.js";
import type { AnswerWriter } from "./answerWriter.js";
import { EngineAnswerReader } from "./engineAnswer.js";
import type { EngineUsage } from "./engineChunk.js";
import type { ModelBody } from "./modelBody.js";

/** Endpoints that are tried for one request at most. */
const maximumAttempts = 4;

/** Leading characters of a prompt that decide which engine may have it cached. */
const prefixCharacters = 1024;

/** How an attempt at one endpoint ended. */
type AttemptEnd =
    | { readonly kind: "finished"; readonly finishReason: string; readonly usage: EngineUsage; }
    /** The endpoint ran nothing; another may be tried. */
    | { readonly kind: "notRun"; readonly reason: string; }
    /** The answer broke off; it can be resumed at the next token. */
    | { readonly kind: "broken"; readonly reason: string; }
    /** The endpoint refuses the request for what it is. */
    | { readonly kind: "rejected"; readonly status: number; readonly body: Buffer; }
    | { readonly kind: "callerLeft"; };

/** One model call: waits for an endpoint, passes the answer on, and resumes it elsewhere when it breaks off. */
export class ModelRequest {
    private readonly writer: AnswerWriter;
    private readonly pending: PendingRequest;
    private readonly labels;
    private text = "";
    private nextToken = 0;
    private lastTokenAt: Milliseconds | undefined;
    private endpointTime: Milliseconds = 0;

    constructor(private readonly context: RequestContext, private readonly body: ModelBody) {
        const { requestId, response, resolved, identity, clock } = context;
        const head = { requestId, model: body.model, form: body.form };
        this.writer = body.stream ? new StreamedAnswerWriter(response, head) : new WholeAnswerWriter(response, head);
        const longest = resolved.requestClass.maximumOutputTokens;
        this.pending = {
            id: requestId,
            team: identity?.team.name,
            keyName: identity?.key.name,
            requestClass: resolved.requestClass,
            pool: resolved.pool.name,
            arrivedAt: clock.now(),
            promptTokens: body.estimatedPromptTokens,
            maximumOutputTokens: Math.min(longest, body.maximumOutputTokens ?? longest),
            prefixDigest: createHash("sha256").update(body.promptText.slice(0, prefixCharacters)).digest("hex"),
            idempotent: true,
        };
        this.labels = { requestClass: resolved.requestClass.name, team: identity?.team.name ?? "open" };
    }

    /** Serves the request to its end. */
    async run(): Promise<void> {
        let lastReason = "";
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const placement = await this.context.dispatcher.acquire(this.pending, this.context.callerLeft);
            if (placement.err) {
                this.refuse(placement.val);
                return;
            }
            const end = await this.attempt(placement.val);
            const finished = match(end)
                .with({ kind: "finished" }, ({ finishReason, usage }) => {
                    this.finish(finishReason, usage);
                    return true;
                })
                .with({ kind: "rejected" }, ({ status, body }) => {
                    this.reject(status, body);
                    return true;
                })
                .with({ kind: "callerLeft" }, () => {
                    this.context.metrics.countEnd(this.labels, "callerLeft", false);
                    this.recordUsage("cut", undefined);
                    return true;
                })
                .with({ kind: "notRun" }, { kind: "broken" }, ({ reason }) => {
                    lastReason = reason;
                    return false;
                })
                .exhaustive();
            if (finished) {
                return;
            }
        }
        this.fail(this.nextToken > 0 ? failure("answerCut") : failure("endpointRefused"), lastReason);
    }

    private async attempt(placement: Placement): Promise<AttemptEnd> {
        const { clock, clients, metrics, callerLeft } = this.context;
        metrics.recordTime(this.labels, "queueWait", placement.startedAt - this.pending.arrivedAt);
        const before = this.nextToken;
        const ended = new AbortController();
        const client = clients.for(placement.endpoint.description.address);
        try {
            const sent = await client.send({
                method: "POST",
                path: this.body.form === "chat" ? "/v1/chat/completions" : "/v1/completions",
                headers: { "content-type": "application/json", "x-request-id": this.pending.id },
                body: this.upstreamBody(),
                signal: AbortSignal.any([callerLeft, ended.signal]),
            });
            if (callerLeft.aborted) {
                return { kind: "callerLeft" };
            }
            if (sent.kind === "error") {
                return sent.error.sent
                    ? { kind: "broken", reason: sent.error.reason }
                    : { kind: "notRun", reason: sent.error.reason };
            }
            return await this.readAnswer(sent.message, placement);
        }
        finally {
            ended.abort();
            this.endpointTime += clock.now() - placement.startedAt;
            this.context.dispatcher.release(placement, {
                promptTokens: this.pending.promptTokens,
                cachedTokens: 0,
                outputTokens: this.nextToken - before,
                serviceTime: clock.now() - placement.startedAt,
            });
        }
    }

    private async readAnswer(message: IncomingMessage, placement: Placement): Promise<AttemptEnd> {
        if (message.headers["x-leaving"] === "true") {
            placement.endpoint.leaving = true;
        }
        const status = message.statusCode ?? 0;
        if (status !== 200) {
            const body = Buffer.concat(await message.toArray().catch(() => []) as Buffer[]);
            const retryable = status === 429 || status >= 500;
            return retryable ? { kind: "notRun", reason: `status ${status}` } : { kind: "rejected", status, body };
        }
        const reader = new EngineAnswerReader(this.pending.id, this.nextToken);
        const end = await reader.read(message, (content, number) => this.takeToken(content, number));
        return this.context.callerLeft.aborted ? { kind: "callerLeft" } : end;
    }

    private takeToken(content: string, tokenNumber: number): Promise<void> | undefined {
        const now = this.context.clock.now();
        if (this.lastTokenAt === undefined) {
            this.context.metrics.recordTime(this.labels, "firstToken", now - this.pending.arrivedAt);
        }
        else {
            this.context.metrics.recordTime(this.labels, "betweenTokens", now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
        this.text += content;
        this.nextToken = tokenNumber + 1;
        return this.writer.writeToken(content, tokenNumber);
    }

    private upstreamBody(): Buffer {
        const { route, requestClass } = this.context.resolved;
        const resume = this.nextToken === 0 ? {} : { resume_at: this.nextToken, resume_text: this.text };
        return Buffer.from(JSON.stringify({
            ...this.body.members,
            max_completion_tokens: undefined,
            max_tokens: this.pending.maximumOutputTokens,
            stream: true,
            priority: requestClass.tier,
            adapter: route.adapter,
            version: route.version,
            ...resume,
        }));
    }

    private finish(finishReason: string, usage: EngineUsage): void {
        this.writer.finish(finishReason, usage);
        this.recordUsage("complete", usage);
        const total = this.context.clock.now() - this.pending.arrivedAt;
        this.context.metrics.recordTime(this.labels, "total", total);
        const withinTarget = total <= this.pending.requestClass.target.totalMilliseconds;
        this.context.metrics.countEnd(this.labels, "answered", withinTarget);
    }

    /** Has the request billed; tokens that the engine did not count are estimated before the answer is whole. */
    private recordUsage(outcome: UsageOutcome, usage: EngineUsage | undefined): void {
        const { configuration, clock } = this.context;
        const ended = {
            team: this.pending.team ?? "",
            requestClass: this.pending.requestClass.name,
            outcome,
            promptTokens: usage?.prompt_tokens ?? (this.nextToken > 0 ? this.pending.promptTokens : 0),
            cachedTokens: usage?.cached_tokens ?? 0,
            outputTokens: this.nextToken,
            endpointTime: this.endpointTime,
            finishedAt: clock.unixNow(),
        };
        this.context.usage.record(ended, configuration.current);
    }

    private refuse(refused: Refused): void {
        const { requestId, eventLog, metrics } = this.context;
        this.writer.fail(refused.failure, retryAfterHeader(refused.retryAfter));
        metrics.countEnd(this.labels, "refused", false);
        eventLog.write("requestRefused", { requestId, ...this.labels, code: refused.failure.code });
    }

    private reject(status: number, body: Buffer): void {
        const { response, requestId, metrics } = this.context;
        response.writeHead(status, { "content-type": "application/json", "x-request-id": requestId });
        response.end(body);
        metrics.countEnd(this.labels, "failed", false);
    }

    private fail(reported: Failure, reason: string): void {
        const { requestId, eventLog, metrics } = this.context;
        this.writer.fail(reported);
        this.recordUsage(this.nextToken > 0 ? "cut" : "failed", undefined);
        metrics.countEnd(this.labels, "failed", false);
        eventLog.write("requestFailed", { requestId, ...this.labels, endpoint: reason, code: reported.code });
    }
}
