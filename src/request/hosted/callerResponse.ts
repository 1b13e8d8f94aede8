import type { IncomingMessage, ServerResponse } from "node:http";
import { readResponseTraits, responseHeadersForCaller } from "../../../platform/callHeaders.js";
import { abortResponse } from "../../connection/abortResponse.js";
import { hasFramedBody } from "../../connection/framedBody.js";
import { sendFailure, waitForDrain } from "../../connection/httpResponse.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall, CallContext, Refusal } from "./callContext.js";
import type { CallTraits } from "./callTraits.js";
import type { RelayedResponseHeaders } from "./relayedResponseHeaders.js";
import { shutdownFieldsOf } from "./shutdownFields.js";

/** Status code 503 (Service Unavailable). */
const unavailableStatus = 503;

/** Status codes of responses that never have a body: 204 (No Content) and 304 (Not Modified). */
const bodilessStatuses: readonly number[] = [204, 304];

/**
 * Status codes by which callers conclude that a call has not run and never will: 408 (Request Timeout), 421 (Misdirected
 * Request), 429 (Too Many Requests) and 503.
 */
const notRunStatuses: readonly number[] = [408, 421, 429, unavailableStatus];

/** Writes the response to the caller of one call. */
export class CallerResponse {
    private isChunkForwarded = false;
    private isSuccessDelivered = false;
    private isFailed = false;
    private forwardedEventId: number | undefined;
    private timeToFirstEvent: Milliseconds | undefined;
    private longestEventGap: Milliseconds = 0;
    private lastEventAt: Milliseconds = 0;

    /**
     * @param arrivedAt Monotonic time at which the call arrived.
     * @param abortSignal Aborts if the caller disconnects before the response is complete.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly traits: CallTraits,
        private readonly context: CallContext,
        private readonly arrivedAt: Milliseconds,
        private readonly abortSignal: AbortSignal,
        private readonly relayedHeaders: RelayedResponseHeaders,
    ) {}

    /** Whether the caller disconnected before the response was complete. */
    hasCallerDisconnected(): boolean {
        return this.abortSignal.aborted;
    }

    /** Whether nothing can be sent to the caller any more: it disconnected, or the response was ended or aborted. */
    hasEnded(): boolean {
        return this.abortSignal.aborted || this.response.writableEnded || this.response.destroyed;
    }

    /** Id of the last event that was forwarded to the caller; undefined if none had an id. */
    get lastEventId(): number | undefined {
        return this.forwardedEventId;
    }

    /** Whether a part of a body that is not a stream of events has been forwarded; the call cannot be retried then. */
    get isBodyForwarded(): boolean {
        return this.isChunkForwarded;
    }

    /** Whether a complete successful response of an endpoint has been sent. */
    get hasDeliveredSuccess(): boolean {
        return this.isSuccessDelivered;
    }

    /** Whether this entry has failed the call, which ends the caller's connection if the response had begun. */
    get hasFailed(): boolean {
        return this.isFailed;
    }

    /** Whether a part of a response has been sent. */
    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** Whole milliseconds since the call arrived. */
    elapsedTime(): Milliseconds {
        return Math.round(this.context.clock.now() - this.arrivedAt);
    }

    /** Forwards complete events of a stream; waits while the caller's connection exerts backpressure. */
    async forwardEvents(
        message: IncomingMessage,
        bytes: Buffer,
        lastId: number | undefined,
        cancelSignal: AbortSignal,
    ): Promise<void> {
        const now = this.context.clock.now();
        this.writeHead(message);
        if (this.timeToFirstEvent === undefined) {
            this.timeToFirstEvent = this.elapsedTime();
        }
        else {
            this.longestEventGap = Math.max(this.longestEventGap, now - this.lastEventAt);
        }
        this.lastEventAt = now;
        this.forwardedEventId = lastId ?? this.forwardedEventId;
        await this.write(bytes, cancelSignal);
    }

    /** Forwards a part of a body that is not a stream of events; waits while the caller exerts backpressure. */
    async forwardChunk(message: IncomingMessage, bytes: Buffer, cancelSignal: AbortSignal): Promise<void> {
        const length = message.headers["content-length"];
        this.writeHead(message, length === undefined ? [] : ["Content-Length", length]);
        this.isChunkForwarded = true;
        await this.write(bytes, cancelSignal);
    }

    /** Ends the response after its stream or long body has ended without an error. */
    endStream(message: IncomingMessage, trailingBytes: Buffer, attempts: number, endpointId: string): void {
        this.writeHead(message);
        this.response.end(trailingBytes);
        this.recordDelivery(message.statusCode ?? 0, attempts, endpointId);
    }

    /** Forwards a fully buffered response unchanged; nothing of another one may have been sent. */
    forwardBuffered(message: IncomingMessage, body: Buffer, attempts: number, endpointId: string): void {
        if (this.response.headersSent || this.abortSignal.aborted) {
            abortResponse(this.response);
            return;
        }
        const { status, hasSignature } = readResponseTraits(message);
        const headers = responseHeadersForCaller(message.rawHeaders, status === unavailableStatus && hasSignature);
        const length = mayHaveBody(this.response, status) ? body.length : message.headers["content-length"];
        if (length !== undefined && hasFramedBody(message)) {
            headers.push("Content-Length", String(length));
        }
        else if (!this.relayedHeaders.isRelayed) {
            this.delimitByConnectionClose();
        }
        this.relayedHeaders.set("endpoint");
        this.response.writeHead(message.statusCode ?? 502, headers);
        this.response.end(body);
        this.recordDelivery(message.statusCode ?? 0, attempts, endpointId);
    }

    /**
     * Forwards the error response of an endpoint that may have run the call; nothing of another one may have been sent.
     *
     * If the call may run only once, the caller must not conclude from the status that it has not run.
     */
    forwardFailure(
        call: AdmittedCall,
        message: IncomingMessage,
        body: Buffer,
        attempts: number,
        endpointId: string,
    ): void {
        if (call.route.repeatRule === "once" && notRunStatuses.includes(message.statusCode ?? 0)) {
            this.fail(failure("callOutcomeUnknown"), call);
            return;
        }
        this.forwardBuffered(message, body, attempts, endpointId);
    }

    /** Responds with an error to a call that has not run. */
    refuse({ reason, call, retryAfter, feature }: Refusal): void {
        const { view, suspensionDetector, eventLog, counters } = this.context;
        const seconds = retryAfter === undefined ? undefined : (retryAfter / 1000).toFixed(3);
        counters.count("refused");
        eventLog.write("callRefused", {
            requestId: this.traits.callId,
            team: call?.team?.name,
            route: call?.route.name,
            code: reason.code,
            version: view.version,
            permitAge: view.loggedPermitAge(suspensionDetector.now()),
            waited: this.elapsedTime(),
            retryAfter: seconds,
            feature,
            ...shutdownFieldsOf(call?.route, this.context),
        });
        this.relayedHeaders.set("entry");
        sendFailure(this.response, reason, seconds === undefined ? {} : { "retry-after": seconds });
    }

    /**
     * Fails a call that may have run; a response that has begun is aborted, so that the caller cannot take it for
     * complete.
     */
    fail(reason: Failure, call?: AdmittedCall): void {
        this.isFailed = true;
        this.context.counters.count("failed");
        this.context.eventLog.write("callFailed", {
            requestId: this.traits.callId,
            team: call?.team?.name,
            route: call?.route.name,
            code: reason.code,
            version: call?.version ?? this.context.view.version,
            waited: this.elapsedTime(),
        });
        if (this.response.headersSent) {
            abortResponse(this.response);
            return;
        }
        this.relayedHeaders.set("entry");
        sendFailure(this.response, reason);
    }

    /** Writes bytes; waits until they are drained, the caller disconnects, or the signal is aborted. */
    private async write(bytes: Buffer, cancelSignal: AbortSignal): Promise<void> {
        if (!this.response.write(bytes) && !this.abortSignal.aborted && !cancelSignal.aborted) {
            await waitForDrain(this.response, cancelSignal);
        }
    }

    /**
     * Delimits a buffered body for a caller by closing the connection, as the endpoint did: a faulty endpoint may end its connection
     * early but in order, and a length would assert that the body is complete.
     *
     * The body is written as a whole, so that an end of this entry is hardly taken for the end of the body. Another entry
     * gets it in chunks instead.
     */
    private delimitByConnectionClose(): void {
        this.response.shouldKeepAlive = false;
        this.response.removeHeader("transfer-encoding");
    }

    /**
     * Writes the status and headers of a stream once; a resumed stream keeps those of its first endpoint.
     *
     * Without a length, `node:http` sends the body in chunks, also where the endpoint delimits it by the end of its
     * connection: the last chunk is sent only once that connection has ended in order, so that callers can tell the end
     * of the body from an end of this entry. Callers that speak HTTP/1.0 can tell only by a reset.
     */
    private writeHead(message: IncomingMessage, framingHeaders: readonly string[] = []): void {
        if (!this.response.headersSent) {
            const headers = [...responseHeadersForCaller(message.rawHeaders), ...framingHeaders];
            this.relayedHeaders.set("endpoint");
            this.response.writeHead(message.statusCode ?? 200, headers);
        }
    }

    private recordDelivery(status: number, attempts: number, endpoint: string): void {
        this.isSuccessDelivered = status >= 200 && status < 300;
        this.context.counters.count("answered");
        this.context.counters.recordTime(this.elapsedTime());
        this.context.eventLog.write("callAnswered", {
            requestId: this.traits.callId,
            status,
            attempts,
            endpoint,
            firstEvent: this.timeToFirstEvent,
            longestPause: Math.round(this.longestEventGap),
            total: this.elapsedTime(),
        });
    }
}

/** Whether a response may have a body (RFC 9110, section 6.4.1); a length states its size only then. */
function mayHaveBody({ req }: ServerResponse, status: number): boolean {
    return req.method !== "HEAD" && !bodilessStatuses.includes(status);
}
