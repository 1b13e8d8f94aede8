import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { ExpositionWriter } from "../../process/metrics/expositionWriter.js";
import type { Milliseconds } from "../../util/clock.js";
import type { ConnectionLimits } from "./connectionLimits.js";
import { PipelinedConnection } from "./pipelinedConnection.js";

/** Why a connection is closed; values of the label `reason` of `gullhall_connections_closed_total`. */
const closeReasons = ["connectionLimit", "responseUnread", "requestStalled", "requestInvalid", "memoryLimit"] as const;

/** One of the reasons for which a connection is closed. */
export type CloseReason = (typeof closeReasons)[number];

/** Maximum number of connections whose held bytes are passed on in one turn of the event loop. */
const releasesPerTurn = 8;

/** Memory for received bytes that are not yet a request, and for unread responses, as a fraction of that for requests. */
const retainedFraction = 1 / 2;

/** Number of connections from which on the unread responses are reviewed. */
const minimumReviewedConnections = 256;

/** Interval between two reviews of the unread responses. */
const reviewInterval: Milliseconds = 500;

const connectionsBySocket = new WeakMap<Duplex, PipelinedConnection>();

/** Whether received bytes of a connection wait for the response to an earlier request. */
export function holdsBytes(socket: Socket): boolean {
    return connectionsBySocket.get(socket)?.holdsBytes === true;
}

/** The connections of the clients of one HTTP server. */
export class ClientConnections {
    /** Connections without a request under way, that which has been idle for the longest time first. */
    private readonly idle = new Set<PipelinedConnection>();
    private readonly open = new Set<PipelinedConnection>();
    private readonly closedCounts = new Map<CloseReason, number>();
    private readonly releasable = new Set<PipelinedConnection>();
    /** Connections that retain received bytes, that which does for the longest time first. */
    private readonly retaining = new Set<PipelinedConnection>();
    private readonly maximumRetainedBytes: number;
    private retainedBytes = 0;
    private isReviewScheduled = false;
    private refusedCount = 0;

    /**
     * @param listener Name of the listener in logs and metrics.
     * @param server A server that has not been started.
     */
    constructor(
        private readonly listener: string,
        server: Server,
        private readonly limits: ConnectionLimits,
        private readonly eventLog: EventLog,
        private readonly now: () => Milliseconds,
    ) {
        this.maximumRetainedBytes = limits.requestMemory * retainedFraction;
        // Also applies to connections that send nothing; `node:http` sets another timeout while they are idle.
        server.timeout = limits.unreadTimeout;
        server.on("connection", (socket: Socket) => {
            this.add(socket);
        });
        server.on("timeout", (socket: Socket) => {
            this.handleTimeout(socket);
        });
    }

    /** Records a request that begins; returns when it was received. */
    beginRequest(request: IncomingMessage, response: ServerResponse, onSent: () => void): Milliseconds {
        const connection = connectionsBySocket.get(request.socket);
        if (connection === undefined) {
            response.once("close", onSent);
            return this.now();
        }
        this.idle.delete(connection);
        connection.begin(request, response, () => {
            onSent();
            if (!connection.isActive && this.open.has(connection)) {
                this.idle.add(connection);
            }
        });
        return connection.receivedAt;
    }

    /** Counts a request that was refused for want of memory. */
    countRefused(): void {
        this.refusedCount++;
    }

    /** The connection of a socket; undefined if it is not one of this server. */
    find(socket: Duplex): PipelinedConnection | undefined {
        return connectionsBySocket.get(socket);
    }

    /** Logs and counts a connection that is being closed. */
    recordClosed(socket: Socket, reason: CloseReason): void {
        this.closedCounts.set(reason, (this.closedCounts.get(reason) ?? 0) + 1);
        const address = socket.remoteAddress ?? "unknown";
        this.eventLog.write("connectionClosed", { listener: this.listener, address, reason });
    }

    write(writer: ExpositionWriter): void {
        const { listener } = this;
        writer.sample("gullhall_connections", { listener }, this.open.size);
        writer.sample("gullhall_connection_retained_bytes", { listener }, this.retainedBytes);
        writer.sample("gullhall_requests_refused_total", { listener }, this.refusedCount);
        for (const reason of closeReasons) {
            const count = this.closedCounts.get(reason) ?? 0;
            writer.sample("gullhall_connections_closed_total", { listener, reason }, count);
        }
    }

    private add(socket: Socket): void {
        if (this.open.size >= this.limits.maximumConnections) {
            const [longestIdle] = this.idle;
            const closed = longestIdle?.socket ?? socket;
            this.recordClosed(closed, "connectionLimit");
            closed.destroy();
            if (closed === socket) {
                return;
            }
            this.remove(longestIdle);
        }
        const connection = new PipelinedConnection(socket, this.now, () => {
            this.scheduleRelease(connection);
        }, change => {
            this.countRetained(connection, change);
        });
        this.scheduleReview();
        connectionsBySocket.set(socket, connection);
        this.open.add(connection);
        this.idle.add(connection);
        socket.once("close", () => {
            this.remove(connection);
        });
    }

    private remove(connection: PipelinedConnection | undefined): void {
        if (connection !== undefined) {
            this.open.delete(connection);
            this.idle.delete(connection);
            this.releasable.delete(connection);
            if (this.retaining.delete(connection)) {
                this.retainedBytes -= connection.retainedBytes;
            }
        }
    }

    /** Closes the connections that have retained received bytes for the longest time when all retain too much. */
    private countRetained(connection: PipelinedConnection, change: number): void {
        if (!this.open.has(connection)) {
            return;
        }
        this.retainedBytes += change;
        if (connection.retainedBytes === 0) {
            this.retaining.delete(connection);
        }
        else {
            this.retaining.add(connection);
        }
        for (const retaining of this.retaining) {
            if (this.retainedBytes <= this.maximumRetainedBytes) {
                return;
            }
            this.closeForMemory(retaining);
        }
    }

    private closeForMemory(connection: PipelinedConnection): void {
        this.recordClosed(connection.socket, "memoryLimit");
        this.remove(connection);
        connection.socket.destroy();
    }

    /** Reviews the unread responses periodically while there are so many connections that these may need much memory. */
    private scheduleReview(): void {
        if (this.isReviewScheduled || this.open.size < minimumReviewedConnections) {
            return;
        }
        this.isReviewScheduled = true;
        setTimeout(() => {
            this.isReviewScheduled = false;
            this.reviewUnreadResponses();
            this.scheduleReview();
        }, reviewInterval).unref();
    }

    private reviewUnreadResponses(): void {
        const unread = [...this.open].filter(({ socket }) => socket.writableLength > 0);
        let unreadBytes = unread.reduce((sum, { socket }) => sum + socket.writableLength, 0);
        for (const connection of unread) {
            if (unreadBytes <= this.maximumRetainedBytes) {
                return;
            }
            unreadBytes -= connection.socket.writableLength;
            this.closeForMemory(connection);
        }
    }

    /** Releases held bytes in later turns of the event loop, so that new requests of other connections come first. */
    private scheduleRelease(connection: PipelinedConnection): void {
        if (this.releasable.size === 0) {
            setImmediate(() => {
                this.releaseNext();
            });
        }
        this.releasable.add(connection);
    }

    private releaseNext(): void {
        const next = [...this.releasable].slice(0, releasesPerTurn);
        next.forEach(connection => {
            this.releasable.delete(connection);
        });
        if (this.releasable.size > 0) {
            setImmediate(() => {
                this.releaseNext();
            });
        }
        next.forEach(connection => {
            connection.release();
        });
    }

    /** Closes a connection on which nothing was sent or received for too long, unless it waits for its response. */
    private handleTimeout(socket: Socket): void {
        const connection = connectionsBySocket.get(socket);
        if (connection?.isActive !== true) {
            socket.destroy();
            return;
        }
        const isUnread = socket.writableLength > 0;
        if (isUnread || !connection.isNewestComplete) {
            this.recordClosed(socket, isUnread ? "responseUnread" : "requestStalled");
            socket.destroy();
        }
    }
}
