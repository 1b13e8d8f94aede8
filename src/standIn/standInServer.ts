import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Clock } from "../util/clock.js";
import { DisposableStore } from "../util/disposableStore.js";
import { controlPrefix, handleControlCall } from "./controlCalls.js";
import { FaultSet } from "./faultSet.js";
import { RequestRecord } from "./requestRecord.js";
import type { RawHeader } from "./requestRecord.js";
import { StandInCall } from "./standInCall.js";

/** The only address that stand-ins listen on. */
const loopback = "127.0.0.1";

/** Largest accepted body of a request, in bytes. */
const maximumBodyBytes = 16 * 1024 * 1024;

/** Requests that the record keeps. */
const recordLimit = 100_000;

/**
 * An outside system that tests and the quickstart run on loopback in place of a real one.
 *
 * From a test: construct it, `await start()`, use `address`, and dispose of it at the end. `faults` makes it misbehave,
 * `record` tells what it received. The same is reached over HTTP below `/stand-in/` (see {@link handleControlCall}).
 */
export abstract class StandInServer implements AsyncDisposable {
    /** The faults that this stand-in shows. */
    readonly faults = new FaultSet();
    /** Every request that it received, apart from control calls. */
    readonly record = new RequestRecord(recordLimit);
    /** What ends with this stand-in. */
    protected readonly owned = new DisposableStore();
    private readonly ending = new AbortController();
    private server: Server | undefined;
    private port = 0;

    constructor(protected readonly clock: Clock) {
        this.faults.onChange(() => {
            void this.followCrash();
        });
    }

    /** IP number and port; known once {@link start} has resolved. */
    get address(): string {
        return `${loopback}:${this.port}`;
    }

    /** Aborted when the stand-in ends. */
    protected get ended(): AbortSignal {
        return this.ending.signal;
    }

    /** Listens on loopback; 0 takes a free port. Returns the address. */
    async start(port = 0): Promise<string> {
        const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 }, (request, response) => {
            void this.serve(request, response);
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, loopback, resolve);
        });
        this.server = server;
        this.port = (server.address() as AddressInfo).port;
        return this.address;
    }

    /** Refuses new connections and waits until the running requests are answered, at most for a span of time. */
    async drain(longest: number): Promise<void> {
        const server = this.server;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve =>
            server.close(() => {
                resolve();
            })
        );
        server.closeIdleConnections();
        await Promise.race([closed, this.clock.sleep(longest, this.ended)]);
    }

    /** Destroys all connections and stops listening. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.ending.abort();
        this.faults.clear();
        this.stopListening();
        await this.owned.dispose();
    }

    /** Figures that `GET /stand-in/figures` gives. */
    abstract figures(): unknown;

    /** Handles a control call of this kind of stand-in; false when there is none of that name. */
    abstract control(name: string, call: StandInCall): boolean;

    /** Handles one call whose body has arrived. */
    protected abstract handle(call: StandInCall): Promise<void> | void;

    /** Whether a call asks for work, which a leaving stand-in refuses. */
    protected abstract isWork(call: StandInCall): boolean;

    /** Called when all connections were destroyed because of a crash. */
    protected onCrash(): void {
        // Kinds that hold state in memory forget it here.
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const controls = request.url?.startsWith(controlPrefix) ?? false;
        const number = controls ? 0 : this.recordRequest(request);
        const body = await readBody(request);
        if (body === undefined) {
            response.destroy();
            return;
        }
        const call = new StandInCall(request, response, body, number, this.faults, this.record);
        if (controls) {
            handleControlCall(call, this);
            return;
        }
        this.record.update(number, { body, bodyBytes: body.length });
        await this.handleUnderFaults(call);
    }

    private async handleUnderFaults(call: StandInCall): Promise<void> {
        const late = this.faults.strike("answerLate", call.path);
        if (late !== undefined) {
            await this.clock.sleep(late.milliseconds, this.ended);
        }
        await this.waitOutStall(call);
        if (call.response.destroyed) {
            return;
        }
        if (this.isWork(call) && this.faults.strike("refuseLeaving", call.path) !== undefined) {
            call.refuseNotRun(503, "leaving", { "x-leaving": "true" });
            return;
        }
        await this.handle(call);
    }

    private async waitOutStall(call: StandInCall): Promise<void> {
        for (;;) {
            const stall = this.faults.peek("stall", call.path);
            const exempt = call.path === "/v1/load" && stall?.alsoLoadReport === false;
            if (stall === undefined || exempt || call.response.destroyed) {
                return;
            }
            await this.faults.changed();
        }
    }

    private recordRequest(request: IncomingMessage): number {
        const raw = request.rawHeaders;
        const headers: RawHeader[] = [];
        for (let index = 0; index + 1 < raw.length; index += 2) {
            headers.push([raw[index] ?? "", raw[index + 1] ?? ""]);
        }
        return this.record.begin({
            receivedAt: this.clock.unixNow(),
            receivedMonotonic: this.clock.now(),
            method: request.method ?? "",
            target: request.url ?? "",
            headers,
        });
    }

    private async followCrash(): Promise<void> {
        const crash = this.faults.peek("crash");
        if (crash !== undefined && this.server !== undefined) {
            this.stopListening();
            this.onCrash();
            await this.recoverLater(crash.recoverAfterMilliseconds);
        }
        else if (crash === undefined && this.server === undefined && this.port !== 0 && !this.ended.aborted) {
            await this.start(this.port);
        }
    }

    private async recoverLater(delay: number | undefined): Promise<void> {
        if (delay === undefined) {
            return;
        }
        await this.clock.sleep(delay, this.ended);
        this.faults.clear("crash");
    }

    private stopListening(): void {
        this.server?.close();
        this.server?.closeAllConnections();
        this.server = undefined;
    }
}

async function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > maximumBodyBytes) {
                return undefined;
            }
            chunks.push(chunk);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks);
}
