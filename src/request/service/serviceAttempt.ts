import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import { discardBody } from "../../connection/discardBody.js";
import type { ResponseFault } from "../../connection/responseFault.js";
import type { Placement } from "../../process/entry/poolDispatcher.js";
import type { Milliseconds } from "../../util/clock.js";
import type { PendingRequest } from "../pendingRequest.js";
import type { RequestContext } from "../requestContext.js";
import { serviceResponseTimeout } from "../retry/stallTimeouts.js";
import { forwardedRequestHeaders } from "./forwardedHeaders.js";
import { ServiceResponse } from "./serviceResponse.js";

/** Result of an attempt at one endpoint. */
export type ServiceAttemptResult =
    /** The beginning of the response was read; the rest must be forwarded before the attempt is disposed. */
    | { readonly kind: "answered"; readonly response: ServiceResponse; }
    /** The endpoint did not run the request; another endpoint may be tried. */
    | { readonly kind: "notRun"; readonly reason: string; }
    /** The endpoint may have run the request, and its response is lost. */
    | { readonly kind: "unknown"; readonly reason: string; }
    | { readonly kind: "callerLeft"; };

/** One attempt to run a plain service call at one endpoint. */
export class ServiceAttempt implements Disposable {
    private readonly stallTimeout = new AbortController();
    private readonly attemptEnded = new AbortController();
    private readonly signal: AbortSignal;

    /**
     * A call that may not be repeated continues after its caller disconnects, so that its response is stored for
     * repeats.
     */
    constructor(
        private readonly context: RequestContext,
        private readonly pendingRequest: PendingRequest,
        private readonly placement: Placement,
    ) {
        const signals = [this.stallTimeout.signal, this.attemptEnded.signal];
        this.signal = AbortSignal.any(pendingRequest.idempotent ? [context.callerAbortSignal, ...signals] : signals);
    }

    /** Sends the request and reads the beginning of its response. */
    async run(): Promise<ServiceAttemptResult> {
        const { context, pendingRequest, placement } = this;
        context.deadlines.set(
            this.stallTimeout,
            placement.startedAt + serviceResponseTimeout(pendingRequest.requestClass),
        );
        const sendResult = await context.endpointClients.clientFor(placement.endpoint.description.address).send({
            method: context.request.method ?? "GET",
            path: context.request.url ?? "/",
            headers: this.forwardedHeaders(),
            body: context.body,
            signal: this.signal,
            freshConnection: !pendingRequest.idempotent,
        });
        if (sendResult.kind === "answer") {
            return await this.readResponse(sendResult.message, sendResult.connectionFault);
        }
        const { sent: mayHaveArrived, reason, fault } = sendResult.error;
        if (pendingRequest.idempotent && context.callerAbortSignal.aborted) {
            return { kind: "callerLeft" };
        }
        this.recordFault(mayHaveArrived);
        this.logFault(fault, reason);
        return mayHaveArrived ? { kind: "unknown", reason } : { kind: "notRun", reason };
    }

    /** Restarts the stall timeout after progress at `now`, in monotonic milliseconds. */
    resetStallTimeout(now: Milliseconds): void {
        this.context.deadlines.set(this.stallTimeout, now + serviceResponseTimeout(this.pendingRequest.requestClass));
    }

    /** Records that the response failed behind its beginning, unless this entry aborted the call. */
    recordInterruption({ fault }: ServiceResponse): void {
        if (!this.signal.aborted) {
            this.recordFault(true);
            this.logFault(fault, "the response ended early");
        }
    }

    /** Aborts the upstream request if it is still in progress. */
    [Symbol.dispose](): void {
        this.context.deadlines.clear(this.stallTimeout);
        this.attemptEnded.abort();
    }

    private async readResponse(
        message: IncomingMessage,
        connectionFault: () => ResponseFault | undefined,
    ): Promise<ServiceAttemptResult> {
        const { context, pendingRequest, placement } = this;
        const { endpoint } = placement;
        const now = context.clock.now();
        const responseId = message.headers["x-request-id"];
        if (responseId !== undefined && responseId !== pendingRequest.id) {
            context.metrics.counters.count("foreignAnswers");
            context.eventLog.write("foreignAnswerDropped", {
                requestId: pendingRequest.id,
                endpoint: endpoint.name,
                parts: 1,
            });
            return { kind: "unknown", reason: "the response belongs to another request" };
        }
        if (message.headers["x-leaving"] === "true") {
            endpoint.markLeaving(now);
        }
        if (message.headers["x-not-run"] === "true") {
            discardBody(message, () => {
                this.attemptEnded.abort();
            });
            endpoint.recordBusy(now);
            return { kind: "notRun", reason: `status ${message.statusCode ?? 0}` };
        }
        const response = await ServiceResponse.readBeginning(message, connectionFault);
        if (response === undefined) {
            if (pendingRequest.idempotent && context.callerAbortSignal.aborted) {
                return { kind: "callerLeft" };
            }
            const reason = "the response ended early";
            this.recordFault(true);
            this.logFault(connectionFault() ?? "endedEarly", reason);
            return { kind: "unknown", reason };
        }
        endpoint.latency.recordStep(context.clock.now() - placement.startedAt);
        endpoint.recordSuccess(now);
        return { kind: "answered", response };
    }

    private recordFault(mayHaveArrived: boolean): void {
        const { clock, dispatcher, metrics } = this.context;
        const stalled = this.stallTimeout.signal.aborted;
        if (stalled) {
            metrics.counters.count("stalledAnswers");
        }
        const fault = stalled ? "stalled" : mayHaveArrived ? "brokenAnswer" : "unreachable";
        dispatcher.table.recordFault(this.placement.endpoint, fault, clock.now());
    }

    /** Logs why there is no whole response, unless this entry aborted the call. */
    private logFault(fault: ResponseFault | undefined, reason: string): void {
        const { context, pendingRequest, placement } = this;
        if (fault !== undefined && !this.signal.aborted) {
            context.eventLog.write("endpointResponseFailed", {
                requestId: pendingRequest.id,
                endpoint: placement.endpoint.name,
                fault,
                reason,
            });
        }
    }

    private forwardedHeaders(): OutgoingHttpHeaders {
        const headers: OutgoingHttpHeaders = { "x-request-id": this.pendingRequest.id };
        for (const name of forwardedRequestHeaders) {
            const value = this.context.request.headers[name];
            if (value !== undefined) {
                headers[name] = value;
            }
        }
        return headers;
    }
}
