import { setMaxListeners } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody } from "../connection/httpBody.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { DisposableStore } from "../util/disposableStore.js";
import { controlPathPrefix, handleControlCall } from "./controlCalls.js";
import { FaultSet } from "./faultSet.js";
import { parseRawHeaders, RequestLog } from "./requestLog.js";
import { StandInCall } from "./standInCall.js";
import type { CallContext } from "./standInCall.js";

/** Stand-ins listen on the loopback interface only. */
const loopbackAddress = "127.0.0.1";

/** Maximum size of a request body in bytes; the connection is closed when a body exceeds it. */
const maximumBodyBytes = 16 * 1024 * 1024;

/**
 * Base class of the stand-ins: HTTP servers that replace external systems in tests and in the quickstart.
 *
 * In a test, construct a stand-in, `await start()`, use `address`, and dispose of it at the end. `faults` injects
 * faults, and `requestLog` contains the received requests. Both are also available over HTTP below `/stand-in/` (see
 * {@link handleControlCall}).
 */
export abstract class StandInServer implements AsyncDisposable {
    /** The active faults. */
    readonly faults = new FaultSet();
    /** The received requests, except control calls. */
    readonly requestLog = new RequestLog();
    /** Resources that are disposed together with the stand-in. */
    protected readonly disposables = new DisposableStore();
    private readonly stopController = new AbortController();
    private readonly context: CallContext;
    private server: Server | undefined;
    private port = 0;

    constructor(protected readonly clock: Clock) {
        setMaxListeners(0, this.stopController.signal);
        this.context = { faults: this.faults, requestLog: this.requestLog, clock, stopSignal: this.stopSignal };
        this.faults.onChange(() => {
            this.applyCrashFault();
        });
    }

    /** IP address and port; the port is 0 until {@link start} has resolved. */
    get address(): string {
        return `${loopbackAddress}:${this.port}`;
    }

    /** Aborted when the stand-in is disposed. */
    protected get stopSignal(): AbortSignal {
        return this.stopController.signal;
    }

    /** Starts to listen and returns the address; port 0 selects a free port. Rejects when the port is in use. */
    async start(port = 0): Promise<string> {
        const server = createServer({ keepAliveTimeout: 0, requestTimeout: 0 }, (request, response) => {
            void this.serve(request, response);
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, loopbackAddress, resolve);
        });
        this.server = server;
        this.port = (server.address() as AddressInfo).port;
        return this.address;
    }

    /** Clears the `crash` fault and listens again on the same address. */
    async recover(): Promise<void> {
        this.faults.clear("crash");
        if (this.server === undefined) {
            await this.start(this.port);
        }
    }

    /**
     * Stops accepting connections and waits until the running requests have finished.
     *
     * @param timeout Maximum wait in milliseconds.
     */
    async drain(timeout: Milliseconds): Promise<void> {
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
        await Promise.race([closed, this.clock.sleep(timeout, this.stopSignal)]);
    }

    /** Stops listening, closes all connections and disposes the resources. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.stopController.abort();
        this.faults.clear();
        this.stopListening();
        await this.disposables.dispose();
    }

    /** The body of `GET /stand-in/figures`. */
    abstract figures(): unknown;

    /** Handles a control call that is specific to this kind of stand-in; false when the name is unknown. */
    abstract handleControl(name: string, call: StandInCall): boolean;

    /** Handles a call whose body has arrived. */
    protected abstract handle(call: StandInCall): Promise<void> | void;

    /** Whether a call requests work, which the `refuseLeaving` fault rejects. */
    protected abstract isWork(call: StandInCall): boolean;

    /** Called after a crash has closed all connections; discards the state that a process loses in a crash. */
    protected abstract resetAfterCrash(): void;

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        const isControlCall = request.url?.startsWith(controlPathPrefix) ?? false;
        const requestNumber = isControlCall ? 0 : this.logRequest(request);
        const body = await readBody(request, maximumBodyBytes);
        if (body.err) {
            response.destroy();
            return;
        }
        const call = new StandInCall(request, response, body.val, requestNumber, this.context);
        if (isControlCall) {
            handleControlCall(call, this);
            return;
        }
        this.requestLog.update(requestNumber, { body: body.val, bodyBytes: body.val.length });
        await this.handleWithFaults(call).catch((error: unknown) => {
            call.respondWithError(500, String(error));
        });
    }

    private async handleWithFaults(call: StandInCall): Promise<void> {
        if (this.faults.peek("answerLate", call.path)?.when === "before") {
            const fault = this.faults.consume("answerLate", call.path);
            await this.clock.sleep(fault?.milliseconds ?? 0, this.stopSignal);
        }
        await this.waitWhileStalled(call);
        if (call.response.destroyed) {
            return;
        }
        if (this.isWork(call) && this.faults.consume("refuseLeaving", call.path) !== undefined) {
            call.respondNotExecuted(503, "leaving", { "x-leaving": "true" });
            return;
        }
        await this.handle(call);
    }

    private async waitWhileStalled(call: StandInCall): Promise<void> {
        while (!call.response.destroyed && !this.stopSignal.aborted) {
            const stall = this.faults.peek("stall", call.path);
            const isExempt = call.path === "/v1/load" && stall?.alsoLoadReport === false;
            if (stall === undefined || isExempt) {
                return;
            }
            await this.faults.waitForChange(this.stopSignal);
        }
    }

    private logRequest(request: IncomingMessage): number {
        return this.requestLog.add({
            receivedAt: this.clock.unixNow(),
            receivedMonotonic: this.clock.now(),
            method: request.method ?? "",
            target: request.url ?? "",
            headers: parseRawHeaders(request.rawHeaders),
        });
    }

    private applyCrashFault(): void {
        const crash = this.faults.peek("crash");
        if (crash === undefined || this.server === undefined) {
            return;
        }
        this.stopListening();
        this.resetAfterCrash();
        if (crash.recoverAfterMilliseconds !== undefined) {
            void this.recoverLater(crash.recoverAfterMilliseconds);
        }
    }

    private async recoverLater(delay: Milliseconds): Promise<void> {
        await this.clock.sleep(delay, this.stopSignal);
        if (!this.stopSignal.aborted) {
            await this.recover();
        }
    }

    private stopListening(): void {
        this.server?.close();
        this.server?.closeAllConnections();
        this.server = undefined;
    }
}
