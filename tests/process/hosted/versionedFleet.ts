import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";

/** Time between two events of a stream, in milliseconds. */
const eventInterval = 30;

/** Number of events of a whole stream. */
export const eventCount = 20;

/** Name of the event that an endpoint wrote: its version and the event's number. */
export function eventName(version: string | undefined, event: number): string {
    return `${String(version)}/${event}`;
}

/** A call that an endpoint received. */
export interface VersionedArrival {
    readonly callId: string;
    readonly endpoint: string;
    readonly version: string | undefined;
    readonly lastEventId: number | undefined;
}

interface VersionedEndpoint {
    readonly id: string;
    readonly service: string;
    readonly version: string | undefined;
    readonly address: string;
}

/** Endpoints of several software versions; what they write names the version, and they continue any stream. */
export class VersionedFleet implements AsyncDisposable {
    readonly arrivals: VersionedArrival[] = [];
    private readonly store = new DisposableStore();
    private readonly endpoints: VersionedEndpoint[] = [];

    /** @param breaksOff Whether an endpoint breaks a stream off after three events. */
    constructor(private readonly breaksOff: (arrival: VersionedArrival) => boolean = () => false) {}

    /** Starts endpoints of one version; undefined if the platform does not state it. */
    async start(service: string, version: string | undefined, count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            const id = `i-${service}-${String(version)}-${this.endpoints.length}`;
            const server = createServer((request, response) => {
                request.resume();
                request.once("end", () => {
                    void this.respond(id, version, request, response);
                });
            });
            this.store.defer(() => {
                server.close();
                server.closeAllConnections();
            });
            this.endpoints.push({ id, service, version, address: await listen(server, "127.0.0.1:0") });
        }
    }

    get addresses(): readonly string[] {
        return this.endpoints.map(({ address }) => address);
    }

    /** Takes the endpoints of a version from the platform's list. */
    remove(version: string): void {
        const kept = this.endpoints.filter(endpoint => endpoint.version !== version);
        this.endpoints.splice(0, this.endpoints.length, ...kept);
    }

    /** Rows of the platform's list of endpoints. */
    listRows(): readonly object[] {
        return this.endpoints.map(({ id, service, version, address }) => {
            return { identifier: id, service, address, version, zone: "north", slots: 64, state: "ready" };
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private async respond(
        endpoint: string,
        version: string | undefined,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const callId = String(request.headers["gullhall-attempt-id"]);
        const lastEventId = request.headers["last-event-id"];
        const arrival = {
            callId,
            endpoint,
            version,
            lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
        };
        this.arrivals.push(arrival);
        const firstEvent = (arrival.lastEventId ?? 0) + 1;
        const breaksOff = this.breaksOff(arrival);
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "gullhall-attempt-id": callId,
            "gullhall-response-signature": "proof",
        });
        for (let event = firstEvent; event <= eventCount && !response.destroyed; event++) {
            if (breaksOff && event === firstEvent + 3) {
                response.destroy();
                return;
            }
            response.write(`id: ${event}\ndata: ${eventName(version, event)}\n\n`);
            await sleep(eventInterval);
        }
        response.end();
    }
}
