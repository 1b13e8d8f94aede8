import type { IncomingMessage } from "node:http";
import type { ResponseFault } from "../../connection/responseFault.js";
import type { Placement } from "../../process/entry/poolDispatcher.js";
import type { Milliseconds } from "../../util/clock.js";
import { callerReadTimeout } from "../callerReadTimeout.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { betweenTokensTimeout, firstTokenTimeout } from "../retry/stallTimeouts.js";
import type { EngineUsage } from "./engineChunk.js";
import { collectBody, EngineResponseReader } from "./engineResponse.js";
import type { EngineResponseResult } from "./engineResponse.js";
import type { ModelRequestBody } from "./modelRequestBody.js";
import type { ResponseProgress } from "./responseProgress.js";
import type { ResponseWriter } from "./responseWriter.js";

/** Maximum size of an engine's error body that is forwarded to the caller, in bytes. */
const maximumErrorBodyBytes = 64 * 1024;

/** Result of an attempt at one endpoint. */
export type ModelAttemptResult =
    | { readonly kind: "finished"; readonly finishReason: string; readonly usage: EngineUsage; }
    /** The endpoint did not run the request; another endpoint may be tried. */
    | { readonly kind: "notRun"; readonly reason: string; }
    /** The response was interrupted; it can be resumed at the next token. */
    | { readonly kind: "broken"; readonly reason: string; }
    /** The endpoint rejected the request itself with a 4xx status; other endpoints would do the same. */
    | { readonly kind: "rejected"; readonly status: number; readonly body: Buffer; }
    /** The slot was taken for a request of a higher tier. */
    | { readonly kind: "preempted"; }
    | { readonly kind: "callerLeft"; }
    /** The caller did not read its response for too long. */
    | { readonly kind: "callerTooSlow"; };

/** State that all attempts of one model call share. */
export interface ModelCallState {
    readonly context: RequestContext;
    readonly body: ModelRequestBody;
    readonly pendingRequest: PendingRequest;
    readonly writer: ResponseWriter;
    readonly progress: ResponseProgress;
}

/** One attempt to run a model call at one endpoint. */
export class ModelAttempt {
    private readonly stallTimeout = new AbortController();
    private readonly slowCallerTimeout = new AbortController();
    private readonly attemptEnded = new AbortController();
    private readonly signal: AbortSignal;
    private lastTokenAt: Milliseconds | undefined;

    constructor(private readonly call: ModelCallState, private readonly placement: Placement) {
        this.signal = AbortSignal.any([
            call.context.callerAbortSignal,
            placement.preempted,
            this.stallTimeout.signal,
            this.slowCallerTimeout.signal,
            this.attemptEnded.signal,
        ]);
    }

    /** Runs the attempt; when the promise resolves, the upstream request has ended or has been aborted. */
    async run(): Promise<ModelAttemptResult> {
        const { context, pendingRequest } = this.call;
        let finished = false;
        context.deadlines.set(
            this.stallTimeout,
            this.placement.startedAt + firstTokenTimeout(pendingRequest.requestClass),
        );
        try {
            const result = await this.send();
            finished = result.kind === "finished";
            return finished ? result : this.abortResult() ?? result;
        }
        finally {
            context.deadlines.clear(this.stallTimeout);
            context.deadlines.clear(this.slowCallerTimeout);
            // After a complete response there is nothing to abort, and aborting would create an exception needlessly.
            if (!finished) {
                this.attemptEnded.abort();
            }
        }
    }

    private async send(): Promise<ModelAttemptResult> {
        const { context, body, pendingRequest } = this.call;
        const { endpoint } = this.placement;
        const sendResult = await context.endpointClients.clientFor(endpoint.description.address).send({
            method: "POST",
            path: body.api === "chat" ? "/v1/chat/completions" : "/v1/completions",
            headers: { "content-type": "application/json", "x-request-id": pendingRequest.id },
            body: this.upstreamBody(),
            signal: this.signal,
        });
        if (sendResult.kind === "answer") {
            return await this.readResponse(sendResult.message, sendResult.connectionFault);
        }
        const { sent: mayHaveArrived, reason, fault } = sendResult.error;
        if (!this.signal.aborted) {
            this.recordFault(mayHaveArrived ? "brokenAnswer" : "unreachable");
            this.logFault(fault, reason);
        }
        return mayHaveArrived ? { kind: "broken", reason } : { kind: "notRun", reason };
    }

    /** The result of an attempt that this entry aborted; undefined when it was not aborted. */
    private abortResult(): ModelAttemptResult | undefined {
        const { context } = this.call;
        if (context.callerAbortSignal.aborted) {
            return { kind: "callerLeft" };
        }
        if (this.slowCallerTimeout.signal.aborted) {
            return { kind: "callerTooSlow" };
        }
        if (this.stallTimeout.signal.aborted) {
            context.metrics.counters.count("stalledAnswers");
            this.recordFault("stalled");
            return { kind: "broken", reason: "the response stalled" };
        }
        return this.placement.preempted.aborted ? { kind: "preempted" } : undefined;
    }

    private async readResponse(
        message: IncomingMessage,
        connectionFault: () => ResponseFault | undefined,
    ): Promise<ModelAttemptResult> {
        const { endpoint } = this.placement;
        if (this.belongsToOtherRequest(message)) {
            return { kind: "broken", reason: "the response belongs to another request" };
        }
        if (message.headers["x-leaving"] === "true") {
            endpoint.markLeaving(this.now());
        }
        if (message.statusCode !== 200) {
            return await this.readErrorResponse(message, connectionFault);
        }
        const { progress, pendingRequest } = this.call;
        const reader = new EngineResponseReader(
            pendingRequest.id,
            progress.nextToken,
            pendingRequest.maximumOutputTokens,
        );
        const result = await reader.read(message, (content, tokenNumber) => this.forwardToken(content, tokenNumber));
        this.recordResult(result, reader.foreignChunks);
        if (result.kind === "broken") {
            this.logFault(connectionFault() ?? (message.complete ? undefined : "endedEarly"), result.reason);
        }
        return result;
    }

    /** Whether a response names another request: an endpoint may send a response twice on a connection that is kept. */
    private belongsToOtherRequest({ headers }: IncomingMessage): boolean {
        const { context, pendingRequest } = this.call;
        const responseId = headers["x-request-id"];
        if (responseId === undefined || responseId === pendingRequest.id) {
            return false;
        }
        context.metrics.counters.count("foreignAnswers");
        const fields = { requestId: pendingRequest.id, endpoint: this.placement.endpoint.name, parts: 1 };
        context.eventLog.write("foreignAnswerDropped", fields);
        this.recordFault("brokenAnswer");
        return true;
    }

    private async readErrorResponse(
        message: IncomingMessage,
        connectionFault: () => ResponseFault | undefined,
    ): Promise<ModelAttemptResult> {
        const { endpoint } = this.placement;
        const status = message.statusCode ?? 0;
        const body = await collectBody(message, maximumErrorBodyBytes);
        const reason = `status ${status}`;
        if (message.headers["x-not-run"] === "true") {
            const { model, version, adapter } = this.call.pendingRequest;
            if (status === 404) {
                endpoint.recordUnsupported({ model, version, adapter }, this.now());
            }
            else {
                endpoint.recordBusy(this.now());
            }
            return { kind: "notRun", reason };
        }
        const fault = connectionFault();
        this.logFault(fault, reason);
        const isClientError = status >= 400 && status < 500 && status !== 429;
        return isClientError && fault === undefined
            ? { kind: "rejected", status, body: body ?? Buffer.alloc(0) }
            : { kind: "broken", reason };
    }

    private recordResult(result: EngineResponseResult, foreignChunks: number): void {
        const { context, pendingRequest } = this.call;
        const { endpoint } = this.placement;
        if (foreignChunks > 0) {
            context.metrics.counters.count("foreignAnswers", foreignChunks);
            const fields = { requestId: pendingRequest.id, endpoint: endpoint.name, parts: foreignChunks };
            context.eventLog.write("foreignAnswerDropped", fields);
        }
        if (result.kind === "finished") {
            endpoint.recordSuccess(this.now());
        }
        else if (!this.signal.aborted) {
            context.metrics.counters.count("malformedAnswers");
            this.recordFault("brokenAnswer");
        }
    }

    private async forwardToken(content: string, tokenNumber: number): Promise<void> {
        const { context, progress, writer, pendingRequest } = this.call;
        const now = this.now();
        this.recordTokenTiming(now);
        progress.recordToken(content, now);
        const drained = writer.writeToken(content, tokenNumber);
        if (drained !== undefined) {
            context.deadlines.clear(this.stallTimeout);
            context.deadlines.set(this.slowCallerTimeout, now + callerReadTimeout);
            await Promise.race([drained, whenAborted(this.signal)]);
            context.deadlines.clear(this.slowCallerTimeout);
            this.lastTokenAt = undefined;
        }
        context.deadlines.set(this.stallTimeout, this.now() + betweenTokensTimeout(pendingRequest.requestClass));
    }

    /** Records a time between tokens only if no backpressure from the caller delayed the engine. */
    private recordTokenTiming(now: Milliseconds): void {
        const { latency } = this.placement.endpoint;
        if (this.lastTokenAt !== undefined) {
            latency.recordStep(now - this.lastTokenAt);
        }
        else if (this.call.progress.nextToken === 0) {
            latency.recordFirstToken(now - this.placement.startedAt);
        }
        this.lastTokenAt = now;
    }

    private upstreamBody(): Buffer {
        const { context, body, pendingRequest, progress } = this.call;
        const { nextToken, text } = progress;
        const resume = nextToken === 0 ? {} : { resume_at: nextToken, resume_text: text };
        return Buffer.from(JSON.stringify({
            ...body.fields,
            model: pendingRequest.model,
            max_completion_tokens: undefined,
            max_tokens: pendingRequest.maximumOutputTokens,
            stream: true,
            priority: context.resolvedRoute.requestClass.tier,
            adapter: pendingRequest.adapter,
            version: pendingRequest.version,
            resume_at: undefined,
            resume_text: undefined,
            ...resume,
        }));
    }

    /** Logs why there is no whole response, unless this entry aborted the call. */
    private logFault(fault: ResponseFault | undefined, reason: string): void {
        const { context, pendingRequest } = this.call;
        if (fault !== undefined && !this.signal.aborted) {
            context.eventLog.write("endpointResponseFailed", {
                requestId: pendingRequest.id,
                endpoint: this.placement.endpoint.name,
                fault,
                reason,
            });
        }
    }

    private recordFault(fault: "unreachable" | "brokenAnswer" | "stalled"): void {
        this.call.context.dispatcher.table.recordFault(this.placement.endpoint, fault, this.now());
    }

    private now(): Milliseconds {
        return this.call.context.clock.now();
    }
}

function whenAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        signal.addEventListener("abort", () => {
            resolve();
        }, { once: true });
    });
}
