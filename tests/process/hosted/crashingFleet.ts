import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { boundAddress, listen } from "../../../src/util/socketAddress.js";

/** Time after which an endpoint that crashed is back, in milliseconds. */
const restartTime = 1_500;

/** Time from the arrival of a call until its answer begins, in milliseconds. */
const startTime = 20;

/** Time between two events of an answer, in milliseconds. */
const eventInterval = 60;

/** Number of events of an answer. */
const eventCount = 12;

/** A call that an endpoint received. */
export interface Arrival {
    readonly callId: string;
    readonly at: number;
    readonly crashes: boolean;
}

/** Endpoints of one service that crash when they begin to answer certain calls, and are back under other ids. */
export class CrashingFleet implements AsyncDisposable {
    readonly arrivals: Arrival[] = [];
    /** Times of the crashes. */
    readonly crashes: number[] = [];
    private readonly endpoints: CrashingEndpoint[] = [];

    /**
     * @param service Name of the service that the endpoints belong to.
     * @param crashesUnder Whether an endpoint crashes under a call.
     */
    constructor(private readonly service: string, readonly crashesUnder: (request: IncomingMessage) => boolean) {}

    async start(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            const endpoint = new CrashingEndpoint(this, index);
            this.endpoints.push(endpoint);
            await endpoint.start();
        }
    }

    /** Rows of the platform's list of endpoints. */
    listRows(): readonly object[] {
        return this.endpoints.filter(({ isUp }) => isUp).map(({ id, address }) => {
            return { identifier: id, service: this.service, address, zone: "north", slots: 16, state: "ready" };
        });
    }

    /** Ends endpoints for a reason of their own. */
    crash(count: number): void {
        this.endpoints.filter(({ isUp }) => isUp).slice(0, count).forEach(endpoint => {
            endpoint.crash();
        });
    }

    /** Resets all connections of all endpoints. */
    resetConnections(): void {
        this.endpoints.forEach(endpoint => {
            endpoint.resetConnections();
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const endpoint of this.endpoints) {
            await endpoint[Symbol.asyncDispose]();
        }
    }
}

class CrashingEndpoint implements AsyncDisposable {
    address = "127.0.0.1:0";
    isUp = false;
    private boot = 0;
    private server: Server | undefined;
    private isDisposed = false;

    constructor(private readonly fleet: CrashingFleet, private readonly index: number) {}

    get id(): string {
        return `i-${this.index}-${this.boot}`;
    }

    async start(): Promise<void> {
        this.boot++;
        const server = createServer((request, response) => {
            request.resume();
            request.once("end", () => {
                void this.respond(server, request, response);
            });
        });
        this.server = server;
        await listen(server, this.address);
        this.address = boundAddress(server);
        this.isUp = true;
    }

    crash(): void {
        const { server } = this;
        if (!this.isUp || server === undefined) {
            return;
        }
        this.isUp = false;
        this.fleet.crashes.push(performance.now());
        server.close();
        server.closeAllConnections();
        setTimeout(() => {
            if (!this.isDisposed) {
                void this.start();
            }
        }, restartTime);
    }

    resetConnections(): void {
        this.server?.closeAllConnections();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isDisposed = true;
        this.isUp = false;
        this.server?.close();
        this.server?.closeAllConnections();
        await sleep(0);
    }

    private async respond(server: Server, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const callId = String(request.headers["gullhall-attempt-id"]);
        if (request.headers["gullhall-target-instance"] !== this.id) {
            response.writeHead(421, { "gullhall-not-executed": "1" }).end();
            return;
        }
        const crashes = this.fleet.crashesUnder(request);
        this.fleet.arrivals.push({ callId, at: performance.now(), crashes });
        await sleep(startTime);
        if (server !== this.server || !this.isUp) {
            return;
        }
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "gullhall-attempt-id": callId,
            "gullhall-response-signature": "proof",
        });
        for (let event = 1; event <= eventCount; event++) {
            response.write(`id: ${event}\ndata: text\n\n`);
            await sleep(eventInterval);
            if (crashes && server === this.server) {
                this.crash();
            }
            if (response.destroyed) {
                return;
            }
        }
        response.end();
    }
}
