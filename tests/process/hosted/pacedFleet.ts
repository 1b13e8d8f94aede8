import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";

/** Time between two events of a stream, in milliseconds. */
const eventInterval = 100;

/** How an endpoint responds to a call. */
export interface StreamPlan {
    /** Number of events of the whole stream; there are ten a second. */
    readonly eventCount: number;
    /** Time before the response begins, in milliseconds. */
    readonly silence?: number;
    /** Breaks the connection off after this event, unless the call continues a stream. */
    readonly breaksOffAfter?: number;
}

/** A call as planned for by a test. */
export interface PlannedCall {
    readonly callId: string;
    readonly path: string;
}

/** Endpoints of one software version that respond as planned, and continue any stream. */
export class PacedFleet implements AsyncDisposable {
    private readonly plans = new Map<string, StreamPlan>();
    private readonly store = new DisposableStore();
    private readonly addresses: string[] = [];

    constructor(private readonly planOf: (call: PlannedCall) => StreamPlan) {}

    async start(endpointCount: number): Promise<void> {
        for (let index = 0; index < endpointCount; index++) {
            const server = createServer((request, response) => {
                request.resume();
                request.once("end", () => {
                    void this.respond(request, response);
                });
            });
            this.store.defer(() => {
                server.close();
                server.closeAllConnections();
            });
            this.addresses.push(await listen(server, "127.0.0.1:0"));
        }
    }

    /** The plan of a call that an endpoint received; undefined if none received it. */
    planOfReceived(callId: string): StreamPlan | undefined {
        return this.plans.get(callId);
    }

    /** Rows of the platform's list of endpoints. */
    listRows(): readonly object[] {
        return this.addresses.map((address, index) => {
            const identifier = `i-writers-${index}`;
            return { identifier, service: "writers", address, version: "v1", zone: "north", slots: 64, state: "ready" };
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }

    private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { url: path = "", headers } = request;
        if (path === "/health") {
            response.end();
            return;
        }
        const callId = String(headers["gullhall-attempt-id"]);
        const plan = this.planOf({ callId, path });
        this.plans.set(callId, plan);
        const { eventCount, silence = 0, breaksOffAfter = Infinity } = plan;
        await sleep(silence);
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "gullhall-attempt-id": callId,
            "gullhall-response-signature": "proof",
        });
        const lastEventId = headers["last-event-id"];
        for (let event = 1 + Number(lastEventId ?? 0); event <= eventCount && !response.destroyed; event++) {
            if (lastEventId === undefined && event > breaksOffAfter) {
                response.destroy();
                return;
            }
            response.write(`id: ${event}\ndata: ${event}\n\n`);
            await sleep(eventInterval);
        }
        response.end();
    }
}
