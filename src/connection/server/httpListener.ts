import { randomInt } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { ExpositionWriter } from "../../process/metrics/expositionWriter.js";
import { definitionOf, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { createFailureBody, sendFailure } from "../httpResponse.js";
import { ClientConnections } from "./clientConnections.js";
import type { ConnectionLimits } from "./connectionLimits.js";
import { RequestMemory } from "./requestMemory.js";

/** Bounds of the random `retry-after` time of a request that is refused for want of memory, in seconds. */
const retryAfterRange = { minimum: 1, exclusiveMaximum: 4 } as const;

/** The largest request of a listener may take a fourth of the memory for requests. */
const largestRequestsInMemory = 4;

/**
 * Handles a request.
 *
 * @param receivedAt When its first bytes were received; it may have waited for earlier requests of its connection.
 */
export type RequestHandler = (
    request: IncomingMessage,
    response: ServerResponse,
    receivedAt: Milliseconds,
) => void;

/** Dependencies of an {@link HttpListener}. */
export interface HttpListenerOptions {
    /** Name in logs and metrics. */
    readonly name: string;
    readonly limits: ConnectionLimits;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    /** Maximum size of a body that is kept in memory, in bytes. */
    readonly maximumBodyBytes: () => number;
    /** Further options of the server. */
    readonly server?: ServerOptions;
    /** Called when a connection is refused because what it sent is no request, or too slow. */
    readonly onInvalidRequest?: (socket: Duplex, reason: Failure) => void;
}

/** HTTP server that bounds what its clients occupy, and answers one request of a connection after the other. */
export class HttpListener {
    readonly server: Server;
    private readonly connections: ClientConnections;
    private readonly memory: RequestMemory;

    constructor(private readonly options: HttpListenerOptions, private readonly handle: RequestHandler) {
        const { name, limits, clock, eventLog, maximumBodyBytes } = options;
        this.server = createServer({
            // This listener refuses requests without it itself, as `node:http` would not count them.
            requireHostHeader: false,
            ...options.server,
        });
        // Other header lines would be dropped without an error; their size is limited.
        this.server.maxHeadersCount = 0;
        this.memory = new RequestMemory(() => {
            return Math.max(limits.requestMemory, largestRequestsInMemory * maximumBodyBytes());
        });
        this.connections = new ClientConnections(name, this.server, limits, eventLog, () => clock.now());
        this.server.on("request", (request, response) => {
            this.accept(request, response);
        });
        // Other expectations than 100-continue may be ignored (RFC 9110, section 10.1.1).
        this.server.on("checkExpectation", (request, response) => {
            this.server.emit("request", request, response);
        });
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            this.handleClientError(error, socket);
        });
    }

    /** Declares the metric families of all listeners. */
    static declareMetrics(writer: ExpositionWriter): void {
        writer.family("gullhall_connections", "gauge", "Open connections of clients.");
        writer.family("gullhall_connections_closed_total", "counter", "Connections that were closed, by reason.");
        writer.family(
            "gullhall_connection_retained_bytes",
            "gauge",
            "Memory of received bytes that are no request yet.",
        );
        writer.family("gullhall_requests_refused_total", "counter", "Requests refused for want of memory.");
        writer.family("gullhall_request_memory_bytes", "gauge", "Memory that is reserved for requests.");
    }

    /** Writes the metrics of this listener. */
    write(writer: ExpositionWriter): void {
        this.connections.write(writer);
        writer.sample("gullhall_request_memory_bytes", { listener: this.options.name }, this.memory.used);
    }

    /** Refuses a connection on which no complete request is under way: sends a response and closes it. */
    refuseConnection(socket: Duplex, reason: Failure): void {
        this.options.onInvalidRequest?.(socket, reason);
        socket.on("error", () => undefined);
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        socket.end(formatRawResponse(reason), () => {
            socket.destroy();
        });
    }

    private accept(request: IncomingMessage, response: ServerResponse): void {
        const reservation = this.memory.reserve(request);
        const receivedAt = this.connections.beginRequest(request, response, () => {
            reservation?.[Symbol.dispose]();
        });
        if (reservation === undefined) {
            this.connections.countRefused();
            const seconds = randomInt(retryAfterRange.minimum, retryAfterRange.exclusiveMaximum);
            this.refuse(request, response, failure("requestMemoryExhausted"), { "retry-after": String(seconds) });
            return;
        }
        if (request.httpVersion === "1.1" && request.headers.host === undefined) {
            this.refuse(request, response, failure("requestUnreadable", { reason: "it has no Host" }), {});
            return;
        }
        this.handle(request, response, receivedAt);
    }

    private refuse(
        request: IncomingMessage,
        response: ServerResponse,
        reason: Failure,
        headers: Readonly<Record<string, string>>,
    ): void {
        request.resume();
        sendFailure(response, reason, { ...headers, connection: "close" });
    }

    /**
     * Handles bytes that are no request, and requests that take too long.
     *
     * The response of an earlier request must not be replaced by the error: it would be taken for the earlier one's.
     */
    private handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
        const connection = this.connections.find(socket);
        if (connection === undefined || !isRequestError(error)) {
            socket.destroy();
            return;
        }
        const reason = createClientErrorFailure(error);
        if (reason.code === "requestTooSlow" && connection.holdsBytes) {
            // The rest of the request has not been read because an earlier one is under way.
            return;
        }
        const closeReason = reason.code === "requestTooSlow" ? "requestStalled" : "requestInvalid";
        this.connections.recordClosed(connection.socket, closeReason);
        if (connection.hasCompleteRequest || connection.hasBegunResponse) {
            connection.abandon();
            return;
        }
        this.refuseConnection(socket, reason);
    }
}

/** Whether an error is one of the request, rather than of the connection. */
function isRequestError({ code = "" }: NodeJS.ErrnoException): boolean {
    return code.startsWith("HPE_") || code.startsWith("ERR_HTTP_");
}

function createClientErrorFailure(error: NodeJS.ErrnoException): Failure {
    if (error.code === "HPE_HEADER_OVERFLOW") {
        return failure("headersTooLarge");
    }
    if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
        return failure("requestTooSlow");
    }
    return failure("requestUnreadable", { reason: error.code ?? "unknown" });
}

function formatRawResponse(reason: Failure): string {
    const { httpStatus, outcome } = definitionOf(reason.code);
    const body = JSON.stringify(createFailureBody(reason));
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
