import { Agent, request as httpRequest } from "node:http";
import type { IncomingMessage, OutgoingHttpHeaders } from "node:http";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { AnswerCheck } from "./answerCheck.js";
import type { Arrival } from "./arrivalSchedule.js";
import type { EntryList } from "./entryList.js";
import type { Flow } from "./loadPlan.js";
import type { OutcomeKind, RequestOutcome } from "./requestOutcome.js";

/** What is known of a call when it has ended. */
interface EndedCall {
    readonly kind: OutcomeKind;
    readonly status: number | undefined;
}

/** Sends the requests of one team over connections that it keeps, and judges the answers. */
export class LoadCaller implements Disposable {
    private readonly agent = new Agent({ keepAlive: true });

    /** @param startedAt Start of the run. */
    constructor(
        private readonly entries: EntryList,
        private readonly clock: Clock,
        private readonly startedAt: Milliseconds,
    ) {}

    /** Sends one request; resolves when it has ended in any way. */
    async send(arrival: Arrival): Promise<RequestOutcome> {
        const { flow, number, at } = arrival;
        const entry = await this.entries.pick();
        const check = new AnswerCheck(flow, arrival.content);
        const ended = await this.call(entry, arrival, check);
        if (ended.kind === "unreachable") {
            this.entries.avoid(entry);
        }
        const dueAt = this.startedAt + at;
        const total = this.clock.now() - dueAt;
        const first = check.times[0];
        const firstToken = first === undefined ? undefined : first - dueAt;
        return {
            number,
            team: flow.team,
            requestClass: flow.requestClass,
            entry,
            dueAt: at,
            ...ended,
            firstToken,
            betweenTokens: check.times.slice(1).map((time, index) => time - (check.times[index] ?? time)),
            total,
            attained: ended.kind === "whole" && withinTarget(flow, firstToken, total),
        };
    }

    /** Closes the kept connections. */
    [Symbol.dispose](): void {
        this.agent.destroy();
    }

    private call(entry: string, arrival: Arrival, check: AnswerCheck): Promise<EndedCall> {
        const { flow } = arrival;
        const body = bodyOf(flow, arrival.content);
        const timeout = AbortSignal.timeout(flow.timeoutMilliseconds);
        return new Promise(resolve => {
            let status: number | undefined;
            const fail = (error: NodeJS.ErrnoException): void => {
                resolve({ kind: failureOf(error, status, timeout.aborted), status });
            };
            const sent = httpRequest({
                ...splitAddress(entry),
                agent: this.agent,
                method: flow.kind === "chat" ? "POST" : flow.method,
                path: flow.kind === "chat" ? "/v1/chat/completions" : flow.path,
                headers: headersOf(arrival, body),
                signal: timeout,
            });
            sent.on("error", fail);
            sent.once("response", (response: IncomingMessage) => {
                const received = response.statusCode ?? 0;
                status = received;
                response.setEncoding("utf8");
                response.on("data", (part: string) => {
                    check.push(received, part, this.clock.now());
                });
                response.on("error", fail);
                response.once("end", () => {
                    resolve({ kind: check.judge(received), status: received });
                });
            });
            sent.end(body);
        });
    }
}

function bodyOf(flow: Flow, content: string): string {
    return flow.kind === "chat"
        ? JSON.stringify({ model: flow.model, stream: true, messages: [{ role: "user", content }] })
        : flow.method === "GET"
        ? ""
        : content;
}

function headersOf({ flow, content, number }: Arrival, body: string): OutgoingHttpHeaders {
    const claimed = flow.kind === "service" && flow.withIdempotencyKey;
    return {
        authorization: `Bearer ${flow.key}`,
        "content-type": flow.kind === "chat" ? "application/json" : "text/plain",
        "content-length": Buffer.byteLength(body),
        "x-request-class": flow.requestClass,
        ...(claimed ? { "idempotency-key": `${content}${number}` } : {}),
    };
}

function failureOf(error: NodeJS.ErrnoException, status: number | undefined, timedOut: boolean): OutcomeKind {
    if (timedOut) {
        return "timedOut";
    }
    if (status !== undefined) {
        return "cut";
    }
    return error.code === "ECONNREFUSED" ? "unreachable" : "unknown";
}

function withinTarget(flow: Flow, firstToken: Milliseconds | undefined, total: Milliseconds): boolean {
    const { firstTokenMilliseconds, totalMilliseconds } = flow.target;
    const firstInTime = firstTokenMilliseconds === undefined || (firstToken ?? Infinity) <= firstTokenMilliseconds;
    return firstInTime && total <= totalMilliseconds;
}
