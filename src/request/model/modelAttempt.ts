import type { IncomingMessage } from "node:http";
import type { Placement } from "../../process/entry/poolDispatcher.js";
import type { Milliseconds } from "../../util/clock.js";
import { callerReadTimeout } from "../callerReadTimeout.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { betweenTokensTimeout, firstTokenTimeout } from "../retry/stallTimeouts.js";
import type { EngineUsage } from "./engineChunk.js";
import { collectBody, EngineResponseReader } from "./engineResponse.js";
import type { EngineAnswerEnd } from "./engineResponse.js";
import type { ModelRequestBody } from "./modelRequestBody.js";
import type { AnswerProgress } from "./responseProgress.js";
import type { AnswerWriter } from "./responseWriter.js";

/** Largest body of an engine's refusal that is passed on, in bytes. */
const maximumRefusalBytes = 64 * 1024;

/** How an attempt at one endpoint ended. */
export type AttemptEnd =
    | { readonly kind: "finished"; readonly finishReason: string; readonly usage: EngineUsage; }
    /** The endpoint ran nothing; another may be tried. */
    | { readonly kind: "notRun"; readonly reason: string; }
    /** The answer broke off; it can be resumed at the next token. */
    | { readonly kind: "broken"; readonly reason: string; }
    /** The endpoint refuses the request for what it is. */
    | { readonly kind: "rejected"; readonly status: number; readonly body: Buffer; }
    /** The slot is wanted for a more important request. */
    | { readonly kind: "preempted"; }
    | { readonly kind: "callerLeft"; }
    /** The caller left its answer unread for too long. */
    | { readonly kind: "callerTooSlow"; };

/** What the attempts of one model call share. */
export interface ModelAttemptParts {
    readonly context: RequestContext;
    readonly body: ModelRequestBody;
    readonly pending: PendingRequest;
    readonly writer: AnswerWriter;
    readonly progress: AnswerProgress;
}

/** One attempt of a model call at one endpoint. */
export class ModelAttempt {
    private readonly stalled = new AbortController();
    private readonly unread = new AbortController();
    private readonly ended = new AbortController();
    private readonly signal: AbortSignal;
    private lastStepAt: Milliseconds | undefined;

    constructor(private readonly parts: ModelAttemptParts, private readonly placement: Placement) {
        this.signal = AbortSignal.any([
            parts.context.callerAbortSignal,
            placement.preempted,
            this.stalled.signal,
            this.unread.signal,
            this.ended.signal,
        ]);
    }

    /** Makes the attempt; when it returns, nothing of it goes on. */
    async run(): Promise<AttemptEnd> {
        const { context, pending } = this.parts;
        let finished = false;
        context.deadlines.set(this.stalled, this.placement.startedAt + firstTokenTimeout(pending.requestClass));
        try {
            const end = await this.send();
            finished = end.kind === "finished";
            return finished ? end : this.interruption() ?? end;
        }
        finally {
            context.deadlines.clear(this.stalled);
            context.deadlines.clear(this.unread);
            // An answer that was read to its end leaves nothing to stop, and an abort costs an exception.
            if (!finished) {
                this.ended.abort();
            }
        }
    }

    private async send(): Promise<AttemptEnd> {
        const { context, body, pending } = this.parts;
        const { endpoint } = this.placement;
        const sent = await context.clients.for(endpoint.description.address).send({
            method: "POST",
            path: body.form === "chat" ? "/v1/chat/completions" : "/v1/completions",
            headers: { "content-type": "application/json", "x-request-id": pending.id },
            body: this.upstreamBody(),
            signal: this.signal,
        });
        if (sent.kind === "answer") {
            return await this.readAnswer(sent.message);
        }
        const { sent: mayHaveArrived, reason } = sent.error;
        if (!this.signal.aborted) {
            this.noteFault(mayHaveArrived ? "brokenAnswer" : "unreachable");
        }
        return mayHaveArrived ? { kind: "broken", reason } : { kind: "notRun", reason };
    }

    /** What cut the attempt off from this side, if anything did. */
    private interruption(): AttemptEnd | undefined {
        const { context } = this.parts;
        if (context.callerAbortSignal.aborted) {
            return { kind: "callerLeft" };
        }
        if (this.unread.signal.aborted) {
            return { kind: "callerTooSlow" };
        }
        if (this.stalled.signal.aborted) {
            context.metrics.counters.count("stalledAnswers");
            this.noteFault("stalled");
            return { kind: "broken", reason: "the answer stood still" };
        }
        return this.placement.preempted.aborted ? { kind: "preempted" } : undefined;
    }

    private async readAnswer(message: IncomingMessage): Promise<AttemptEnd> {
        const { endpoint } = this.placement;
        if (message.headers["x-leaving"] === "true") {
            endpoint.noteLeaving(this.now());
        }
        if (message.statusCode !== 200) {
            return await this.readRefusal(message);
        }
        const { progress, pending } = this.parts;
        const reader = new EngineResponseReader(pending.id, progress.nextToken, pending.maximumOutputTokens);
        const end = await reader.read(message, (content, number) => this.takeToken(content, number));
        this.noteEnd(end, reader.crossedChunks);
        return end;
    }

    private async readRefusal(message: IncomingMessage): Promise<AttemptEnd> {
        const { endpoint } = this.placement;
        const status = message.statusCode ?? 0;
        const body = await collectBody(message, maximumRefusalBytes);
        const reason = `status ${status}`;
        if (message.headers["x-not-run"] === "true") {
            const { model, version, adapter } = this.parts.pending;
            if (status === 404) {
                endpoint.noteLack({ model, version, adapter }, this.now());
            }
            else {
                endpoint.noteBusy(this.now());
            }
            return { kind: "notRun", reason };
        }
        const itself = status >= 400 && status < 500 && status !== 429;
        return itself ? { kind: "rejected", status, body: body ?? Buffer.alloc(0) } : { kind: "broken", reason };
    }

    private noteEnd(end: EngineAnswerEnd, crossed: number): void {
        const { context, pending } = this.parts;
        const { endpoint } = this.placement;
        if (crossed > 0) {
            context.metrics.counters.count("foreignAnswers", crossed);
            const fields = { requestId: pending.id, endpoint: endpoint.name, parts: crossed };
            context.eventLog.write("foreignAnswerDropped", fields);
        }
        if (end.kind === "finished") {
            endpoint.noteSuccess(this.now());
        }
        else if (!this.signal.aborted) {
            context.metrics.counters.count("malformedAnswers");
            this.noteFault("brokenAnswer");
        }
    }

    private async takeToken(content: string, tokenNumber: number): Promise<void> {
        const { context, progress, writer, pending } = this.parts;
        const now = this.now();
        this.recordPace(now);
        progress.take(content, now);
        const room = writer.writeToken(content, tokenNumber);
        if (room !== undefined) {
            context.deadlines.clear(this.stalled);
            context.deadlines.set(this.unread, now + callerReadTimeout);
            await Promise.race([room, aborted(this.signal)]);
            context.deadlines.clear(this.unread);
            this.lastStepAt = undefined;
        }
        context.deadlines.set(this.stalled, this.now() + betweenTokensTimeout(pending.requestClass));
    }

    /** A time between tokens counts only where the caller did not hold the engine up. */
    private recordPace(now: Milliseconds): void {
        const { pace } = this.placement.endpoint;
        if (this.lastStepAt !== undefined) {
            pace.recordStep(now - this.lastStepAt);
        }
        else if (this.parts.progress.nextToken === 0) {
            pace.recordFirstToken(now - this.placement.startedAt);
        }
        this.lastStepAt = now;
    }

    private upstreamBody(): Buffer {
        const { context, body, pending, progress } = this.parts;
        const { nextToken, text } = progress;
        const resume = nextToken === 0 ? {} : { resume_at: nextToken, resume_text: text };
        return Buffer.from(JSON.stringify({
            ...body.members,
            model: pending.model,
            max_completion_tokens: undefined,
            max_tokens: pending.maximumOutputTokens,
            stream: true,
            priority: context.resolvedRoute.requestClass.tier,
            adapter: pending.adapter,
            version: pending.version,
            resume_at: undefined,
            resume_text: undefined,
            ...resume,
        }));
    }

    private noteFault(fault: "unreachable" | "brokenAnswer" | "stalled"): void {
        this.parts.context.dispatcher.table.noteFault(this.placement.endpoint, fault, this.now());
    }

    private now(): Milliseconds {
        return this.parts.context.clock.now();
    }
}

function aborted(signal: AbortSignal): Promise<void> {
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
