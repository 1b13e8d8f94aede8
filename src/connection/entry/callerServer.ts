import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { EntryProcessState } from "../../process/entry/entryProcessState.js";
import { callerReadTimeout } from "../../request/callerReadTimeout.js";
import { ModelRequest } from "../../request/model/modelRequest.js";
import { ServiceRequest } from "../../request/service/serviceRequest.js";
import { definitionOf, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { listen } from "../../util/socketAddress.js";
import { answerFailure, answerJson, failureBody, retryAfterHeader } from "../httpAnswer.js";
import { CallAdmission } from "./callAdmission.js";

/** Bounds on callers. */
export interface CallerServerLimits {
    /** Longest time for the headers of a request. */
    readonly headersTimeout: Milliseconds;
    /** Longest time for a whole request to arrive. */
    readonly requestTimeout: Milliseconds;
    /** How often the two are checked. */
    readonly checkInterval: Milliseconds;
    /** Largest headers of a request, in bytes. */
    readonly maximumHeaderBytes: number;
    /** Connections at a time; further ones are closed at once. */
    readonly maximumConnections: number;
}

/** The bounds that an entry sets. */
export const defaultCallerServerLimits: CallerServerLimits = {
    headersTimeout: 10_000,
    requestTimeout: 30_000,
    checkInterval: 1_000,
    maximumHeaderBytes: 16 * 1024,
    maximumConnections: 20_000,
};

/** How long a connection without a request stays open, in milliseconds. */
const keepAliveTimeout: Milliseconds = 5_000;

/** Path of the question which entries to use. */
const entriesPath = "/v1/entries";

/** Answers callers over HTTP. */
export class CallerServer implements AsyncDisposable {
    private readonly server;
    private readonly admission: CallAdmission;

    constructor(
        private readonly state: EntryProcessState,
        limits: CallerServerLimits = defaultCallerServerLimits,
    ) {
        this.admission = new CallAdmission(state);
        this.server = createServer({
            headersTimeout: limits.headersTimeout,
            requestTimeout: limits.requestTimeout,
            connectionsCheckingInterval: limits.checkInterval,
            maxHeaderSize: limits.maximumHeaderBytes,
            keepAliveTimeout,
        });
        this.server.maxConnections = limits.maximumConnections;
        this.server.on("request", (request, response) => {
            void this.answer(request, response);
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            this.refuseBytes(socket, faultOfBytes(error));
        });
        const refuseUpgrade = (request: IncomingMessage): void => {
            this.refuseBytes(request.socket, failure("upgradeRefused"));
        };
        this.server.on("upgrade", refuseUpgrade);
        this.server.on("connect", refuseUpgrade);
    }

    /** Starts to listen; resolves with the bound address. */
    start(): Promise<string> {
        return listen(this.server, this.state.settings.callerAddress);
    }

    /** Ends after the last running request was answered. */
    async [Symbol.asyncDispose](): Promise<void> {
        const closed = new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
        });
        this.server.closeIdleConnections();
        await closed;
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        if (this.state.draining) {
            // Callers keep connections open; a stopping entry ends each of them with its present answer.
            response.setHeader("connection", "close");
        }
        try {
            await this.serve(request, response);
        }
        catch (error) {
            const reason = error instanceof Error ? error.stack ?? error.message : String(error);
            this.state.eventLog.write("taskFailed", { task: "request", reason });
            response.destroy();
        }
        this.boundReading(response);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = (request.url ?? "").split("?", 1)[0];
        if (path === entriesPath) {
            this.answerEntries(request, response);
            return;
        }
        const admitted = await this.admission.admit(request, response);
        if (admitted.err) {
            this.refuse(request, response, admitted.val);
            return;
        }
        const { context, modelBody } = admitted.val;
        const { limits, clock } = this.state;
        const limited = limits.admit(context.identity, modelBody?.estimatedPromptTokens ?? 0, clock.now());
        if ("code" in limited) {
            const headers = { "x-request-id": context.requestId, ...retryAfterHeader(limited.retryAfter) };
            answerFailure(response, failure(limited.code), headers);
            return;
        }
        if (modelBody === undefined) {
            await new ServiceRequest(context).run();
            limits.finish(limited, 0, clock.now());
            return;
        }
        const modelRequest = new ModelRequest(context, modelBody);
        await modelRequest.run();
        limits.finish(limited, modelRequest.tokensUsed, clock.now());
    }

    private answerEntries(request: IncomingMessage, response: ServerResponse): void {
        const method = request.method ?? "";
        if (method !== "GET") {
            this.refuse(request, response, failure("methodNotAllowed", { path: entriesPath, method, allowed: "GET" }));
            return;
        }
        request.resume();
        const { discovery, settings, draining } = this.state;
        answerJson(response, 200, discovery.createResponse(draining ? settings.name : undefined), {
            "cache-control": `max-age=${settings.discoverySeconds}`,
        });
    }

    /** Refuses a request; a connection on which a body may still be under way ends with the answer. */
    private refuse(request: IncomingMessage, response: ServerResponse, reported: Failure): void {
        const unread = !request.complete;
        if (unread) {
            request.resume();
            response.once("finish", () => {
                request.socket.destroySoon();
            });
        }
        answerFailure(response, reported, unread ? { connection: "close" } : {});
    }

    /** Cuts a caller off that does not take the rest of its answer. */
    private boundReading(response: ServerResponse): void {
        if (response.writableFinished || response.destroyed) {
            return;
        }
        const { deadlines, clock } = this.state;
        const unread = new AbortController();
        deadlines.set(unread, clock.now() + callerReadTimeout);
        unread.signal.addEventListener("abort", () => {
            response.destroy();
        }, { once: true });
        response.once("close", () => {
            deadlines.clear(unread);
        });
    }

    /** Answers bytes that did not become a request, and ends their connection. */
    private refuseBytes(socket: Duplex, reported: Failure): void {
        this.state.metrics.counters.count("callersRefused");
        const address = "remoteAddress" in socket ? String(socket.remoteAddress) : "unknown";
        this.state.eventLog.write("callerRefused", { address, code: reported.code });
        socket.on("error", () => undefined);
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        socket.end(rawAnswer(reported), () => {
            socket.destroy();
        });
    }
}

function faultOfBytes(error: NodeJS.ErrnoException): Failure {
    if (error.code === "HPE_HEADER_OVERFLOW") {
        return failure("headersTooLarge");
    }
    if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return failure("requestTooSlow");
    }
    return failure("requestUnreadable", { reason: error.code ?? "unknown" });
}

function rawAnswer(reported: Failure): string {
    const { httpStatus, outcome } = definitionOf(reported.code);
    const body = JSON.stringify(failureBody(reported));
    return [
        `HTTP/1.1 ${httpStatus} Refused`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        ...outcome === undefined ? [] : [`x-outcome: ${outcome}`],
        "connection: close",
        "",
        body,
    ].join("\r\n");
}
