import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { NetConnectOpts, Socket } from "node:net";
import type { Milliseconds } from "../../util/clock.js";
import { connectClient } from "../clientSocket.js";
import type { ClientSocket } from "../clientSocket.js";

/**
 * Idle time after which a connection is closed; `node:http` closes it earlier if the endpoint's keep-alive header says
 * so.
 */
const idleTimeout: Milliseconds = 20_000;

/** Maximum number of idle connections to one endpoint. */
const maximumIdleConnections = 64;

/** Opens a connection to an endpoint. */
export type OpenConnection = (options: NetConnectOpts) => ClientSocket;

/**
 * Connection pool of one endpoint.
 *
 * Closes an idle connection on which data arrives: it belongs to no call, and the next call on the connection would
 * take it for its response.
 */
export class EndpointAgent extends Agent {
    private readonly reservations = new WeakMap<Socket, () => void>();

    constructor(private readonly openConnection: OpenConnection = connectClient) {
        super({
            keepAlive: true,
            scheduling: "lifo",
            maxFreeSockets: maximumIdleConnections,
            noDelay: true,
            timeout: idleTimeout,
        });
    }

    /** Called by `node:http`. */
    override createConnection(options: NetConnectOpts): Socket {
        return this.openConnection(options);
    }

    override keepSocketAlive(socket: Socket): boolean {
        // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression -- the type declares no result
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            const onIdle = this.reservations.get(socket);
            if (onIdle === undefined) {
                socket.once("data", closeOnUnexpectedData);
            }
            else {
                this.reservations.delete(socket);
                process.nextTick(onIdle);
            }
        }
        return isKept;
    }

    /**
     * Keeps a connection open when it becomes idle, although further data is expected on it.
     *
     * @param onIdle Called when the connection is idle, before it can receive data.
     */
    reserve(socket: Socket, onIdle: () => void): void {
        this.reservations.set(socket, onIdle);
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.removeListener("data", closeOnUnexpectedData);
        super.reuseSocket(socket, request);
    }
}

function closeOnUnexpectedData(this: Socket): void {
    this.destroy();
}
