import { setMaxListeners } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody } from "../connection/httpBody.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { DisposableStore } from "../util/disposableStore.js";
import { controlPrefix, handleControlCall } from "./controlCalls.js";
import { FaultSet } from "./faultSet.js";
import { rawHeadersOf, RequestRecord } from "./requestRecord.js";
import { StandInCall } from "./standInCall.js";
import type { CallContext } from "./standInCall.js";

/** The only address that stand-ins listen on. */
const loopback = "127.0.0.1";

/** Largest accepted body of a request, in bytes. */
const maximumBodyBytes = 16 * 1024 * 1024;

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
    readonly record = new RequestRecord();
    /** What ends with this stand-in. */
    protected readonly owned = new DisposableStore();
    private readonly ending = new AbortController();
    private readonly context: CallContext;
    private server: Server | undefined;
    private port = 0;

    constructor(protected readonly clock: Clock) {
        setMaxListeners(0, this.ending.signal);
        this.context = { faults: this.faults, record: this.record, clock, ended: this.ended };
        this.faults.onChange(() => {
            this.crashWhereTold();
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

    /** Listens on loopback; 0 takes a free port. Returns the address; rejects when the port is taken. */
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

    /** Ends a crash: listens again under the same address. */
    async recover(): Promise<void> {
        this.faults.clear("crash");
        if (this.server === undefined) {
            await this.start(this.port);
        }
    }

    /** Refuses new connections and waits until the running requests are answered, at most for a span of time. */
    async drain(longest: Milliseconds): Promise<void> {
        const server = this.server;
        if (server === undefined) {
            return;
        }
        const closed = new Promise<void>(resolve => {
            server.close(() => {
                resolve();
            });
        });
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
    protected abstract forget(): void;

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const controls = request.url?.startsWith(controlPrefix) ?? false;
        const number = controls ? 0 : this.recordRequest(request);
        const body = await readBody(request, maximumBodyBytes);
        if (body.err) {
            response.destroy();
            return;
        }
        const call = new StandInCall(request, response, body.val, number, this.context);
        if (controls) {
            handleControlCall(call, this);
            return;
        }
        this.record.update(number, { body: body.val, bodyBytes: body.val.length });
        await this.handleUnderFaults(call).catch((error: unknown) => {
            call.refuse(500, String(error));
        });
    }

    private async handleUnderFaults(call: StandInCall): Promise<void> {
        if (this.faults.peek("answerLate", call.path)?.when === "before") {
            const late = this.faults.strike("answerLate", call.path);
            await this.clock.sleep(late?.milliseconds ?? 0, this.ended);
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
        while (!call.response.destroyed && !this.ended.aborted) {
            const stall = this.faults.peek("stall", call.path);
            const exempt = call.path === "/v1/load" && stall?.alsoLoadReport === false;
            if (stall === undefined || exempt) {
                return;
            }
            await this.faults.changed(this.ended);
        }
    }

    private recordRequest(request: IncomingMessage): number {
        return this.record.begin({
            receivedAt: this.clock.unixNow(),
            receivedMonotonic: this.clock.now(),
            method: request.method ?? "",
            target: request.url ?? "",
            headers: rawHeadersOf(request.rawHeaders),
        });
    }

    private crashWhereTold(): void {
        const crash = this.faults.peek("crash");
        if (crash === undefined || this.server === undefined) {
            return;
        }
        this.stopListening();
        this.forget();
        if (crash.recoverAfterMilliseconds !== undefined) {
            void this.recoverLater(crash.recoverAfterMilliseconds);
        }
    }

    private async recoverLater(delay: Milliseconds): Promise<void> {
        await this.clock.sleep(delay, this.ended);
        if (!this.ended.aborted) {
            await this.recover();
        }
    }

    private stopListening(): void {
        this.server?.close();
        this.server?.closeAllConnections();
        this.server = undefined;
    }
}
