import type { IncomingMessage, ServerResponse } from "node:http";
import { responseHeadersForCaller } from "../../../platform/callHeaders.js";
import { answerFailure, drained } from "../../connection/httpAnswer.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall, CallParts, Refusal } from "./callContext.js";
import type { CallTraits } from "./callTraits.js";

/** The answer of one call, as the caller gets it. */
export class CallerAnswer {
    private isGone = false;
    private isFramed = true;
    private passedId: number | undefined;
    private firstEventAfter: Milliseconds | undefined;
    private longestPause: Milliseconds = 0;
    private eventAt: Milliseconds = 0;

    /**
     * @param arrivedAt When the call arrived.
     * @param onGone Called when the caller leaves before its answer is complete.
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

    /** Whether the caller has left before its answer was complete. */
    hasCallerLeft(): boolean {
        return this.isGone;
    }

    /** The last event that the caller has of this call's answer. */
    get passedEventId(): number | undefined {
        return this.passedId;
    }

    /** Whole milliseconds since the call arrived. */
    elapsed(): Milliseconds {
        return Math.round(this.parts.clock.now() - this.arrivedAt);
    }

    /** Passes whole events of a stream on; waits for a slow reader. */
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

    /** Ends a stream that is complete. */
    endStream(message: IncomingMessage, rest: Buffer, attempts: number, endpointId: string): void {
        this.begin(message);
        if (!isFramed(message) && this.isFramed) {
            // Nothing tells whether the rest of the stream is whole, so that the framing must not say so.
            this.response.destroy();
            return;
        }
        this.response.end(rest);
        this.noteDelivered(message.statusCode ?? 0, attempts, endpointId);
    }

    /** Passes a whole answer on as it is. */
    passOn(message: IncomingMessage, body: Buffer, attempts: number, endpointId: string): void {
        if (this.response.headersSent || this.isGone) {
            this.response.destroy();
            return;
        }
        const headers = responseHeadersForCaller(message.rawHeaders);
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

    /** Refuses a call that has not run. */
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

    /** Ends a call that may have run; an answer that has begun is cut, so that it does not look complete. */
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

    /** Sends the head of a stream, once; a resumed one keeps the head of its first endpoint. */
    private begin(message: IncomingMessage): void {
        if (!this.response.headersSent) {
            const headers = responseHeadersForCaller(message.rawHeaders);
            this.isFramed = isFramed(message);
            if (!this.isFramed) {
                this.endByConnection();
            }
            this.response.writeHead(message.statusCode ?? 200, headers);
        }
    }

    /** Lets the answer end with its connection, as the endpoint's own does: a frame would say that it is whole. */
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

/** Whether the end of an answer can be told from its frame, not only from the end of its connection. */
function isFramed(message: IncomingMessage): boolean {
    return message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined;
}
