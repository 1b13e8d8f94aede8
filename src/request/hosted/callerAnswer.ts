import type { IncomingMessage, ServerResponse } from "node:http";
import { headersTowardsCaller } from "../../../platform/callHeaders.js";
import { answerFailure, drained } from "../../connection/httpAnswer.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall, CallParts, Refusal } from "./callParts.js";
import type { CallTraits } from "./callTraits.js";

/** Writes the response to the caller of one call. */
export class CallerAnswer {
    private isGone = false;
    private isFramed = true;
    private passedId: number | undefined;
    private firstEventAfter: Milliseconds | undefined;
    private longestPause: Milliseconds = 0;
    private eventAt: Milliseconds = 0;

    /**
     * @param arrivedAt Monotonic time at which the call arrived.
     * @param onGone Called if the caller disconnects before the response is complete.
     */
    constructor(
        private readonly response: ServerResponse,
        private readonly traits: CallTraits,
        private readonly parts: CallParts,
        private readonly arrivedAt: Milliseconds,
        onGone: () => void,
    ) {
        response.once("close", () => {
            if (!response.writableFinished) {
                this.isGone = true;
                onGone();
            }
        });
    }

    /** Whether the caller disconnected before the response was complete. */
    hasCallerLeft(): boolean {
        return this.isGone;
    }

    /** Id of the last event that was forwarded to the caller; undefined if none had an id. */
    get passedEventId(): number | undefined {
        return this.passedId;
    }

    /** Whole milliseconds since the call arrived. */
    elapsed(): Milliseconds {
        return Math.round(this.parts.clock.now() - this.arrivedAt);
    }

    /** Forwards complete events of a stream; waits while the caller's connection exerts backpressure. */
    async passEvents(message: IncomingMessage, bytes: Buffer, lastId: number | undefined): Promise<void> {
        const now = this.parts.clock.now();
        this.begin(message);
        if (this.firstEventAfter === undefined) {
            this.firstEventAfter = this.elapsed();
        }
        else {
            this.longestPause = Math.max(this.longestPause, now - this.eventAt);
        }
        this.eventAt = now;
        this.passedId = lastId ?? this.passedId;
        if (!this.response.write(bytes) && !this.isGone) {
            await drained(this.response);
        }
    }

    /** Ends the response after its stream has ended without an error. */
    endStream(message: IncomingMessage, rest: Buffer, attempts: number, endpointId: string): void {
        this.begin(message);
        if (!isFramed(message) && this.isFramed) {
            // A stream without framing that continues one with framing may be truncated, so it must not end as
            // complete.
            this.response.destroy();
            return;
        }
        this.response.end(rest);
        this.noteDelivered(message.statusCode ?? 0, attempts, endpointId);
    }

    /** Forwards a fully buffered response unchanged. */
    passOn(message: IncomingMessage, body: Buffer, attempts: number, endpointId: string): void {
        if (this.response.headersSent || this.isGone) {
            this.response.destroy();
            return;
        }
        const headers = headersTowardsCaller(message.rawHeaders);
        if (isFramed(message)) {
            headers.push("Content-Length", String(body.length));
        }
        else {
            this.endByConnection();
        }
        this.response.writeHead(message.statusCode ?? 502, headers);
        this.response.end(body);
        this.noteDelivered(message.statusCode ?? 0, attempts, endpointId);
    }

    /** Responds with an error to a call that has not run. */
    refuse({ reason, call, retryAfter }: Refusal): void {
        const { view, suspension, eventLog, counters } = this.parts;
        const seconds = retryAfter === undefined ? undefined : (retryAfter / 1000).toFixed(3);
        counters.count("refused");
        eventLog.write("callRefused", {
            requestId: this.traits.callId,
            team: call?.team?.name,
            route: call?.route.name,
            code: reason.code,
            version: view.version,
            permitAge: view.loggedPermitAge(suspension.now()),
            waited: this.elapsed(),
            retryAfter: seconds,
        });
        answerFailure(this.response, reason, seconds === undefined ? {} : { "retry-after": seconds });
    }

    /**
     * Fails a call that may have run; a response that has begun is aborted, so that the caller cannot take it for
     * complete.
     */
    fail(reason: Failure, call: AdmittedCall): void {
        this.parts.counters.count("failed");
        this.parts.eventLog.write("callFailed", {
            requestId: this.traits.callId,
            team: call.team?.name,
            route: call.route.name,
            code: reason.code,
            version: call.version,
            waited: this.elapsed(),
        });
        if (this.response.headersSent) {
            this.response.destroy();
            return;
        }
        answerFailure(this.response, reason);
    }

    /** Writes the status and headers of a stream once; a resumed stream keeps those of its first endpoint. */
    private begin(message: IncomingMessage): void {
        if (!this.response.headersSent) {
            const headers = headersTowardsCaller(message.rawHeaders);
            this.isFramed = isFramed(message);
            if (!this.isFramed) {
                this.endByConnection();
            }
            this.response.writeHead(message.statusCode ?? 200, headers);
        }
    }

    /**
     * Delimits the body by closing the connection, as the endpoint did: added framing would assert that it is complete.
     */
    private endByConnection(): void {
        this.response.shouldKeepAlive = false;
        this.response.removeHeader("transfer-encoding");
    }

    private noteDelivered(status: number, attempts: number, endpoint: string): void {
        this.parts.counters.count("answered");
        this.parts.counters.recordTime(this.elapsed());
        this.parts.eventLog.write("callAnswered", {
            requestId: this.traits.callId,
            status,
            attempts,
            endpoint,
            firstEvent: this.firstEventAfter,
            longestPause: Math.round(this.longestPause),
            total: this.elapsed(),
        });
    }
}

/** Whether the body is delimited by a length or by chunks, not merely by the end of the connection. */
function isFramed(message: IncomingMessage): boolean {
    return message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined;
}
