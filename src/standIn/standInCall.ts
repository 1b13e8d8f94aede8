import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { z } from "zod";
import type { Clock } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import type { FaultSet } from "./faultSet.js";
import type { RequestRecord } from "./requestRecord.js";

/** What the calls of a stand-in share. */
export interface CallContext {
    readonly faults: FaultSet;
    readonly record: RequestRecord;
    readonly clock: Clock;
    /** Aborted when the stand-in ends. */
    readonly ended: AbortSignal;
}

/** One call that a stand-in handles: the whole request and the means to answer it. */
export class StandInCall {
    readonly method: string;
    readonly url: URL;

    constructor(
        private readonly request: IncomingMessage,
        readonly response: ServerResponse,
        readonly body: Buffer,
        /** Position of the call in the record. */
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

    /** Path without the query. */
    get path(): string {
        return this.url.pathname;
    }

    /** First value of a header, by its name in lower case. */
    header(name: string): string | undefined {
        const value = this.request.headers[name];
        return typeof value === "string" ? value : value?.[0];
    }

    /** The body as JSON of a schema, or a sentence that says what is wrong. */
    json<Schema extends z.ZodType>(schema: Schema): Result<z.output<Schema>, string> {
        const value = parseJson(this.body);
        if (value.err) {
            return Err(value.val);
        }
        const outcome = schema.safeParse(value.val);
        return outcome.success ? Ok(outcome.data) : Err(outcome.error.message);
    }

    /** Begins an answer whose body is written by the caller of this method. */
    begin(status: number, headers: OutgoingHttpHeaders): void {
        this.context.record.update(this.number, { status });
        this.response.writeHead(status, headers);
    }

    /** Answers with a JSON body, or late or not at all where a fault says so. */
    answer(status: number, body?: unknown, headers: OutgoingHttpHeaders = {}): void {
        if (this.faults.strike("loseAnswers", this.path) !== undefined) {
            this.drop();
            return;
        }
        if (this.faults.peek("answerLate", this.path)?.when === "after") {
            void this.answerLate(status, body, headers);
            return;
        }
        this.answerAlways(status, body, headers);
    }

    /** Answers with a JSON body, whatever the faults are. */
    answerAlways(status: number, body?: unknown, headers: OutgoingHttpHeaders = {}): void {
        if (this.response.destroyed || this.response.headersSent) {
            return;
        }
        const text = body === undefined ? "" : JSON.stringify(body);
        const type = body === undefined ? {} : { "content-type": "application/json" };
        this.begin(status, { ...type, "content-length": Buffer.byteLength(text), ...headers });
        this.response.end(text);
    }

    /** Refuses because of what the caller sent. */
    refuse(status: number, message: string, headers: OutgoingHttpHeaders = {}): void {
        this.answerAlways(status, { error: { message } }, headers);
    }

    /** Refuses with the word that nothing ran. */
    refuseNotRun(status: 429 | 503, message: string, headers: OutgoingHttpHeaders = {}): void {
        this.refuse(status, message, { "x-not-run": "true", ...headers });
    }

    /** Destroys the connection. */
    drop(): void {
        this.response.destroy();
    }

    private async answerLate(status: number, body: unknown, headers: OutgoingHttpHeaders): Promise<void> {
        const late = this.faults.strike("answerLate", this.path);
        await this.context.clock.sleep(late?.milliseconds ?? 0, this.context.ended);
        this.answerAlways(status, body, headers);
    }
}

function parseJson(body: Buffer): Result<unknown, string> {
    try {
        return Ok(JSON.parse(body.toString("utf8")) as unknown);
    }
    catch (error) {
        return Err(String(error));
    }
}
