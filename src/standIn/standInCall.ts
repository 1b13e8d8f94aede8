import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { z } from "zod";
import type { Clock } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import type { FaultSet } from "./faultSet.js";
import type { RequestLog } from "./requestLog.js";

/** State of a stand-in that all its calls share. */
export interface CallContext {
    readonly faults: FaultSet;
    readonly requestLog: RequestLog;
    readonly clock: Clock;
    /** Aborted when the stand-in is disposed. */
    readonly stopSignal: AbortSignal;
}

/** An HTTP call that a stand-in handles: the complete request and methods to respond to it. */
export class StandInCall {
    readonly method: string;
    readonly url: URL;

    constructor(
        private readonly request: IncomingMessage,
        readonly response: ServerResponse,
        readonly body: Buffer,
        /** Number of the request in the request log; 0 for control calls. */
        readonly number: number,
        private readonly context: CallContext,
    ) {
        this.method = request.method ?? "GET";
        this.url = new URL(request.url ?? "/", "http://stand-in");
    }

    /** The faults of the stand-in. */
    get faults(): FaultSet {
        return this.context.faults;
    }

    /** Path without the query string. */
    get path(): string {
        return this.url.pathname;
    }

    /** First value of a header; the name must be in lower case. */
    header(name: string): string | undefined {
        const value = this.request.headers[name];
        return typeof value === "string" ? value : value?.[0];
    }

    /** Parses the body as JSON and validates it against a schema; the error is a message for the caller. */
    parseBody<Schema extends z.ZodType>(schema: Schema): Result<z.output<Schema>, string> {
        const value = parseJsonText(this.body);
        if (value.err) {
            return Err(value.val);
        }
        const outcome = schema.safeParse(value.val);
        return outcome.success ? Ok(outcome.data) : Err(outcome.error.message);
    }

    /** Logs the status and writes the status line and headers; the body is written separately. */
    writeHead(status: number, headers: OutgoingHttpHeaders): void {
        this.context.requestLog.update(this.number, { status });
        this.response.writeHead(status, headers);
    }

    /** Responds with a JSON body; the `answerLate` and `loseAnswers` faults delay or drop the response. */
    respond(status: number, body?: unknown, headers: OutgoingHttpHeaders = {}): void {
        if (this.faults.consume("loseAnswers", this.path) !== undefined) {
            this.destroyConnection();
            return;
        }
        if (this.faults.peek("answerLate", this.path)?.when === "after") {
            void this.respondAfterDelay(status, body, headers);
            return;
        }
        this.respondIgnoringFaults(status, body, headers);
    }

    /** Responds with a JSON body regardless of the active faults; does nothing when a response has been started. */
    respondIgnoringFaults(status: number, body?: unknown, headers: OutgoingHttpHeaders = {}): void {
        if (this.response.destroyed || this.response.headersSent) {
            return;
        }
        const text = body === undefined ? "" : JSON.stringify(body);
        const type = body === undefined ? {} : { "content-type": "application/json" };
        this.writeHead(status, { ...type, "content-length": Buffer.byteLength(text), ...headers });
        this.response.end(text);
    }

    /** Responds with an error message, regardless of the active faults. */
    respondWithError(status: number, message: string, headers: OutgoingHttpHeaders = {}): void {
        this.respondIgnoringFaults(status, { error: { message } }, headers);
    }

    /** Rejects a request and declares with `x-not-run` that it was not executed. */
    respondNotExecuted(status: 429 | 503, message: string, headers: OutgoingHttpHeaders = {}): void {
        this.respondWithError(status, message, { "x-not-run": "true", ...headers });
    }

    /** Closes the connection without a response. */
    destroyConnection(): void {
        this.response.destroy();
    }

    private async respondAfterDelay(status: number, body: unknown, headers: OutgoingHttpHeaders): Promise<void> {
        const fault = this.faults.consume("answerLate", this.path);
        await this.context.clock.sleep(fault?.milliseconds ?? 0, this.context.stopSignal);
        this.respondIgnoringFaults(status, body, headers);
    }
}

function parseJsonText(body: Buffer): Result<unknown, string> {
    try {
        return Ok(JSON.parse(body.toString("utf8")) as unknown);
    }
    catch (error) {
        return Err(String(error));
    }
}
