import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { listen } from "../../../src/util/socketAddress.js";
import { privateAddressOf } from "../network/vmHosts.js";
import { numbersFrom } from "../numbersFrom.js";
import type { CallLedger, Findings } from "./callLedger.js";

/** What an endpoint does wrong. */
export type EndpointFault = "mute" | "failing" | "full" | "losing" | "truncating" | "surplus" | "slow";

/** Part of the calls that a fault strikes. */
const struckShare = 0.4;

/** Pause between two events of a stream. */
const eventPause: Milliseconds = 25;

/** Events of a stream. */
const streamEvents = 12;

/** Time that a plain call takes. */
const workTime: Milliseconds = 20;

/** Factor by which a slow endpoint takes longer. */
const slowFactor = 8;

/** An engine or a service outside of the project, which notes what it runs. */
export class SoakEndpoint {
    private server: Server | undefined;
    private fault: EndpointFault | undefined;
    private incarnation = 0;

    constructor(
        readonly vm: number,
        readonly service: string,
        readonly publicAddress: string,
        private readonly ledger: CallLedger,
        private readonly findings: Findings,
        private readonly random: RandomSource,
    ) {}

    get isRunning(): boolean {
        return this.server !== undefined;
    }

    /** The platform's row about this endpoint. */
    get row(): object {
        const { service, publicAddress: address } = this;
        return { identifier: this.identifier, service, address, zone: "north", slots: 16, state: "ready" };
    }

    async start(): Promise<void> {
        const server = createServer((request, response) => {
            this.serve(request, response).catch((error: unknown) => {
                this.findings.add("stand-in", String(error));
            });
        });
        this.server = server;
        this.incarnation++;
        await listen(server, privateAddressOf(this.publicAddress));
    }

    /** Ends at once, with all its connections. */
    crash(): void {
        this.server?.close();
        this.server?.closeAllConnections();
        this.server = undefined;
    }

    /** Puts a fault in force; undefined ends it. */
    suffer(fault: EndpointFault | undefined): void {
        this.fault = fault;
    }

    private get identifier(): string {
        return `i-${this.vm}-${this.incarnation}`;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        request.resume();
        const id = String(request.headers["gullhall-attempt-id"]);
        const meant = request.headers["gullhall-target-instance"];
        if (meant !== undefined && meant !== this.identifier) {
            response.writeHead(421).end();
            return;
        }
        if (request.headers["api-key"] !== undefined) {
            this.findings.add("keys stay with the router", `${id} brought a key`);
        }
        const fault = this.random.float() < struckShare ? this.fault : undefined;
        if (fault === "full") {
            response.writeHead(503, { "gullhall-not-executed": "1", "gullhall-attempt-id": id }).end();
            return;
        }
        this.ledger.noteRun(id);
        if (fault === "mute") {
            return;
        }
        const pace = fault === "slow" ? slowFactor : 1;
        const proof = { "gullhall-attempt-id": id, "gullhall-response-signature": `proof ${id}` };
        if (fault === "failing") {
            response.writeHead(500, proof).end();
            return;
        }
        if (this.service === "engines") {
            await this.stream(id, request, response, proof, fault, pace);
            return;
        }
        await sleep(workTime * pace);
        match(fault)
            .with("losing", () => request.socket.resetAndDestroy())
            .with("truncating", () => {
                response.writeHead(200, { ...proof, "content-length": 1_000 });
                response.write(`answer to ${id}`, () => request.socket.destroy());
            })
            .with("surplus", () => {
                const body = `answer to ${id}`;
                response.writeHead(200, { ...proof, "content-length": body.length });
                response.end(body, () => request.socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno`));
            })
            .otherwise(() => response.writeHead(200, proof).end(`answer to ${id}`));
    }

    private async stream(
        id: string,
        request: IncomingMessage,
        response: ServerResponse,
        proof: Readonly<Record<string, string>>,
        fault: EndpointFault | undefined,
        pace: number,
    ): Promise<void> {
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        const breaksAt = fault === "losing" || fault === "truncating"
            ? this.random.integer(first, streamEvents)
            : Infinity;
        response.writeHead(200, { ...proof, "content-type": "text/event-stream" });
        response.flushHeaders();
        for (let event = first; event <= streamEvents && !response.destroyed; event++) {
            await sleep(eventPause * pace);
            if (event === breaksAt) {
                response.write(`id: ${event}\ndata: ${id}`, () => request.socket.resetAndDestroy());
                return;
            }
            response.write(`id: ${event}\ndata: ${id}\n\n`);
        }
        response.end(`id: ${streamEvents + 1}\ndata: ${id} end\n\n`);
    }
}

/** Why the body of a call's answer is not whole and its own; undefined where it is. */
export function bodyFault(id: string, isStream: boolean, body: string): string | undefined {
    const events = numbersFrom(1, streamEvents).map(event => `id: ${event}\ndata: ${id}\n\n`);
    const whole = isStream ? `${events.join("")}id: ${streamEvents + 1}\ndata: ${id} end\n\n` : `answer to ${id}`;
    return body === whole ? undefined : `the body is ${JSON.stringify(body.slice(0, 200))}`;
}
