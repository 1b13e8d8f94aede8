import { Agent, request as httpRequest } from "node:http";
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { Arrival } from "./arrivalSchedule.js";
import type { EntrySelector } from "./entrySelector.js";
import type { Flow } from "./loadPlan.js";
import type { OutcomeKind, RequestOutcome } from "./requestOutcome.js";
import { ResponseValidator } from "./responseValidator.js";

/** Result of a call. */
interface CallResult {
    readonly kind: OutcomeKind;
    readonly status: number | undefined;
}

/** Sends the requests of one team over keep-alive connections and validates the responses. */
export class LoadClient implements Disposable {
    private readonly agent = new Agent({ keepAlive: true });

    /** @param startedAt Start time of the run. */
    constructor(
        private readonly entries: EntrySelector,
        private readonly clock: Clock,
        private readonly startedAt: Milliseconds,
    ) {}

    /** Sends one request; resolves with its outcome, also if it failed. */
    async send(arrival: Arrival): Promise<RequestOutcome> {
        const { flow, number, scheduledAt } = arrival;
        const entry = await this.entries.select();
        const validator = new ResponseValidator(flow, arrival.content);
        const result = await this.call(entry, arrival, validator);
        if (result.kind === "unreachable") {
            this.entries.markUnreachable(entry);
        }
        const dueAt = this.startedAt + scheduledAt;
        const total = this.clock.now() - dueAt;
        const firstTokenAt = validator.tokenArrivalTimes[0];
        const firstToken = firstTokenAt === undefined ? undefined : firstTokenAt - dueAt;
        return {
            number,
            team: flow.team,
            requestClass: flow.requestClass,
            entry,
            dueAt: scheduledAt,
            ...result,
            firstToken,
            betweenTokens: validator.tokenArrivalTimes.slice(1).map((time, index) =>
                time - (validator.tokenArrivalTimes[index] ?? time)
            ),
            total,
            attained: result.kind === "whole" && meetsTarget(flow, firstToken, total),
        };
    }

    /** Closes the keep-alive connections. */
    [Symbol.dispose](): void {
        this.agent.destroy();
    }

    private call(entry: string, arrival: Arrival, validator: ResponseValidator): Promise<CallResult> {
        const { flow } = arrival;
        const body = createBody(flow, arrival.content);
        const timeout = AbortSignal.timeout(flow.timeoutMilliseconds);
        return new Promise(resolve => {
            let status: number | undefined;
            const fail = (error: NodeJS.ErrnoException): void => {
                resolve({ kind: outcomeOfError(error, status, timeout.aborted), status });
            };
            const clientRequest = httpRequest({
                ...splitAddress(entry),
                agent: this.agent,
                method: flow.kind === "chat" ? "POST" : flow.method,
                path: flow.kind === "chat" ? "/v1/chat/completions" : flow.path,
                headers: createHeaders(arrival, body),
                signal: timeout,
            });
            clientRequest.on("error", fail);
            clientRequest.once("response", (response: IncomingMessage) => {
                const receivedStatus = response.statusCode ?? 0;
                status = receivedStatus;
                response.setEncoding("utf8");
                response.on("data", (chunk: string) => {
                    validator.addChunk(receivedStatus, chunk, this.clock.now());
                });
                response.on("error", fail);
                response.once("end", () => {
                    resolve({ kind: validator.validate(receivedStatus), status: receivedStatus });
                });
            });
            clientRequest.end(body);
        });
    }
}

function createBody(flow: Flow, content: string): string {
    return flow.kind === "chat"
        ? JSON.stringify({ model: flow.model, stream: true, messages: [{ role: "user", content }] })
        : flow.method === "GET"
        ? ""
        : content;
}

function createHeaders({ flow, content, number }: Arrival, body: string): OutgoingHttpHeaders {
    const hasIdempotencyKey = flow.kind === "service" && flow.withIdempotencyKey;
    return {
        authorization: `Bearer ${flow.key}`,
        "content-type": flow.kind === "chat" ? "application/json" : "text/plain",
        "content-length": Buffer.byteLength(body),
        "x-request-class": flow.requestClass,
        ...(hasIdempotencyKey ? { "idempotency-key": `${content}${number}` } : {}),
    };
}

function outcomeOfError(error: NodeJS.ErrnoException, status: number | undefined, timedOut: boolean): OutcomeKind {
    if (timedOut) {
        return "timedOut";
    }
    if (status !== undefined) {
        return "cut";
    }
    return error.code === "ECONNREFUSED" ? "unreachable" : "unknown";
}

function meetsTarget(flow: Flow, firstToken: Milliseconds | undefined, total: Milliseconds): boolean {
    const { firstTokenMilliseconds, totalMilliseconds } = flow.target;
    const meetsFirstToken = firstTokenMilliseconds === undefined || (firstToken ?? Infinity) <= firstTokenMilliseconds;
    return meetsFirstToken && total <= totalMilliseconds;
}
