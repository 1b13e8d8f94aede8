import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/clock.js";

/** Idle time after which a connection is closed; the library closes it earlier where the endpoint names less. */
const longestIdleTime: Milliseconds = 20_000;

/** Idle connections that are kept to one endpoint. */
const maximumIdle = 64;

/**
 * Connections to one endpoint.
 *
 * A connection on which bytes arrive while no call is under way is closed: they belong to no call, and the next one
 * must not take them for its answer.
 */
export class EndpointAgent extends Agent {
    constructor() {
        super({
            keepAlive: true,
            scheduling: "lifo",
            maxFreeSockets: maximumIdle,
            noDelay: true,
            timeout: longestIdleTime,
        });
    }

    override keepSocketAlive(socket: Socket): boolean {
        // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression -- the types lack the answer
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (isKept) {
            socket.once("data", closeOnSurplus);
        }
        return isKept;
    }

    override reuseSocket(socket: Socket, request: ClientRequest): void {
        socket.removeListener("data", closeOnSurplus);
        super.reuseSocket(socket, request);
    }
}

function closeOnSurplus(this: Socket): void {
    this.destroy();
}
