import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { Placement } from "../../process/entry/poolDispatcher.js";
import type { Milliseconds } from "../../util/clock.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { serviceResponseTimeout } from "../retry/stallTimeouts.js";
import { forwardedRequestHeaders } from "./forwardedHeaders.js";
import { ServiceAnswer } from "./serviceResponse.js";

/** How an attempt at one endpoint ended. */
export type ServiceAttemptEnd =
    /** The beginning of the answer is there; the rest must be passed on before the attempt is closed. */
    | { readonly kind: "answered"; readonly answer: ServiceAnswer; }
    /** The endpoint ran nothing; another may be tried. */
    | { readonly kind: "notRun"; readonly reason: string; }
    /** The endpoint may have run the request, and its answer is lost. */
    | { readonly kind: "unknown"; readonly reason: string; }
    | { readonly kind: "callerLeft"; };

/** One attempt of a call of a plain service at one endpoint. */
export class ServiceAttempt implements Disposable {
    private readonly stalled = new AbortController();
    private readonly ended = new AbortController();
    private readonly signal: AbortSignal;

    /** A call that may not be repeated goes on without its caller, so that its answer is kept for a repeat. */
    constructor(
        private readonly context: RequestContext,
        private readonly pending: PendingRequest,
        private readonly placement: Placement,
    ) {
        const signals = [this.stalled.signal, this.ended.signal];
        this.signal = AbortSignal.any(pending.idempotent ? [context.callerAbortSignal, ...signals] : signals);
    }

    /** Sends the call and reads the beginning of its answer. */
    async run(): Promise<ServiceAttemptEnd> {
        const { context, pending, placement } = this;
        context.deadlines.set(this.stalled, placement.startedAt + serviceResponseTimeout(pending.requestClass));
        const sent = await context.clients.for(placement.endpoint.description.address).send({
            method: context.request.method ?? "GET",
            path: context.request.url ?? "/",
            headers: this.forwardedHeaders(),
            body: context.body,
            signal: this.signal,
            freshConnection: !pending.idempotent,
        });
        if (sent.kind === "answer") {
            return await this.readAnswer(sent.message);
        }
        const { sent: mayHaveArrived, reason } = sent.error;
        if (pending.idempotent && context.callerAbortSignal.aborted) {
            return { kind: "callerLeft" };
        }
        this.noteFault(mayHaveArrived);
        return mayHaveArrived ? { kind: "unknown", reason } : { kind: "notRun", reason };
    }

    /** Notes that the call moves on, so that it does not count as stalled. */
    noteProgress(now: Milliseconds): void {
        this.context.deadlines.set(this.stalled, now + serviceResponseTimeout(this.pending.requestClass));
    }

    /** Ends whatever of the attempt still goes on. */
    [Symbol.dispose](): void {
        this.context.deadlines.clear(this.stalled);
        this.ended.abort();
    }

    private async readAnswer(message: IncomingMessage): Promise<ServiceAttemptEnd> {
        const { context, pending, placement } = this;
        const { endpoint } = placement;
        const now = context.clock.now();
        if (message.headers["x-leaving"] === "true") {
            endpoint.noteLeaving(now);
        }
        if (message.headers["x-not-run"] === "true") {
            message.resume();
            endpoint.noteBusy(now);
            return { kind: "notRun", reason: `status ${message.statusCode ?? 0}` };
        }
        const answerId = message.headers["x-request-id"];
        if (answerId !== undefined && answerId !== pending.id) {
            context.metrics.counters.count("foreignAnswers");
            context.eventLog.write("foreignAnswerDropped", {
                requestId: pending.id,
                endpoint: endpoint.name,
                parts: 1,
            });
            return { kind: "unknown", reason: "the answer belongs to another request" };
        }
        const answer = await ServiceAnswer.begin(message);
        if (answer === undefined) {
            if (pending.idempotent && context.callerAbortSignal.aborted) {
                return { kind: "callerLeft" };
            }
            this.noteFault(true);
            return { kind: "unknown", reason: "the answer ended early" };
        }
        endpoint.pace.recordStep(context.clock.now() - placement.startedAt);
        endpoint.noteSuccess(now);
        return { kind: "answered", answer };
    }

    private noteFault(mayHaveArrived: boolean): void {
        const { clock, dispatcher, metrics } = this.context;
        const stalled = this.stalled.signal.aborted;
        if (stalled) {
            metrics.counters.count("stalledAnswers");
        }
        const fault = stalled ? "stalled" : mayHaveArrived ? "brokenAnswer" : "unreachable";
        dispatcher.table.noteFault(this.placement.endpoint, fault, clock.now());
    }

    private forwardedHeaders(): OutgoingHttpHeaders {
        const headers: OutgoingHttpHeaders = { "x-request-id": this.pending.id };
        for (const name of forwardedRequestHeaders) {
            const value = this.context.request.headers[name];
            if (value !== undefined) {
                headers[name] = value;
            }
        }
        return headers;
    }
}
