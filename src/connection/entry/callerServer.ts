import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import type { EntryProcessState } from "../../process/entry/entryProcessState.js";
import { callerReadTimeout } from "../../request/callerReadTimeout.js";
import { ModelRequest } from "../../request/model/modelRequest.js";
import { ServiceRequest } from "../../request/service/serviceRequest.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { listen } from "../../util/socketAddress.js";
import { abortResponse } from "../abortResponse.js";
import { createRetryAfterHeader, sendFailure, sendJson } from "../httpResponse.js";
import { HttpServerDrain } from "../httpServerDrain.js";
import { HttpListeners } from "../server/httpListeners.js";
import { RequestAdmission } from "./requestAdmission.js";

/** Limits on the connections and requests of callers. */
export interface CallerServerLimits {
    /** Timeout for the headers of a request. */
    readonly headersTimeout: Milliseconds;
    /** Timeout for a whole request to arrive. */
    readonly requestTimeout: Milliseconds;
    /** Interval at which the two timeouts are checked. */
    readonly timeoutCheckInterval: Milliseconds;
    /** Maximum size of the headers of a request, in bytes. */
    readonly maximumHeaderBytes: number;
}

/** Limits that are used in production. */
export const defaultCallerServerLimits: CallerServerLimits = {
    headersTimeout: 10_000,
    requestTimeout: 30_000,
    timeoutCheckInterval: 1_000,
    maximumHeaderBytes: 16 * 1024,
};

/** Time for which an idle connection is kept open, in milliseconds. */
const keepAliveTimeout: Milliseconds = 5_000;

/** `retry-after` time of a request for whose body there is too little memory. */
const memoryRetryAfter: Milliseconds = 2_000;

/** Path at which callers get the list of entries to use. */
const entriesPath = "/v1/entries";

/** HTTP server for callers. */
export class CallerServer implements AsyncDisposable {
    private readonly server;
    private readonly drain: HttpServerDrain;
    private readonly admission: RequestAdmission;

    constructor(
        private readonly state: EntryProcessState,
        limits: CallerServerLimits = defaultCallerServerLimits,
        listeners: HttpListeners = new HttpListeners(state.settings.connectionLimits, state.clock, state.eventLog),
    ) {
        this.admission = new RequestAdmission(state);
        const listener = listeners.create({
            name: "callers",
            maximumBodyBytes: () => state.settings.maximumBodyBytes,
            server: {
                headersTimeout: limits.headersTimeout,
                requestTimeout: limits.requestTimeout,
                connectionsCheckingInterval: limits.timeoutCheckInterval,
                maxHeaderSize: limits.maximumHeaderBytes,
                keepAliveTimeout,
            },
            onInvalidRequest: (socket, reason) => {
                this.recordRefused(socket, reason);
            },
        }, (request, response) => {
            void this.handleRequest(request, response);
        });
        this.server = listener.server;
        this.drain = new HttpServerDrain(this.server);
        const refuseUpgrade = (request: IncomingMessage): void => {
            listener.refuseConnection(request.socket, failure("upgradeRefused"));
        };
        this.server.on("upgrade", refuseUpgrade);
        this.server.on("connect", refuseUpgrade);
    }

    /** Starts to listen; resolves with the bound address. */
    start(): Promise<string> {
        return listen(this.server, this.state.settings.callerAddress);
    }

    /** Closes each connection after its next response from now on; still accepts connections. */
    startDraining(): void {
        this.drain.begin();
    }

    /** Stops listening; resolves when all running requests have ended. */
    async [Symbol.asyncDispose](): Promise<void> {
        await this.drain.close();
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => undefined);
        try {
            await this.serveRequest(request, response);
        }
        catch (error) {
            const reason = error instanceof Error ? error.stack ?? error.message : String(error);
            this.state.eventLog.write("taskFailed", { task: "request", reason });
            abortResponse(response);
        }
        this.startReadTimeout(response);
    }

    private async serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = (request.url ?? "").split("?", 1)[0];
        if (path === entriesPath) {
            this.sendEntries(request, response);
            return;
        }
        const admitted = await this.admission.admit(request, response);
        if (admitted.err) {
            this.refuse(request, response, admitted.val);
            return;
        }
        const { context, modelBody } = admitted.val;
        const { limits, clock } = this.state;
        const limitDecision = limits.admit(context.identity, modelBody?.estimatedPromptTokens ?? 0, clock.now());
        if ("code" in limitDecision) {
            const headers = { "x-request-id": context.requestId, ...createRetryAfterHeader(limitDecision.retryAfter) };
            sendFailure(response, failure(limitDecision.code), headers);
            return;
        }
        if (modelBody === undefined) {
            await new ServiceRequest(context).run();
            limits.finish(limitDecision, 0, clock.now());
            return;
        }
        const modelRequest = new ModelRequest(context, modelBody);
        await modelRequest.run();
        limits.finish(limitDecision, modelRequest.tokensUsed, clock.now());
    }

    private sendEntries(request: IncomingMessage, response: ServerResponse): void {
        const method = request.method ?? "";
        if (method !== "GET") {
            this.refuse(request, response, failure("methodNotAllowed", { path: entriesPath, method, allowed: "GET" }));
            return;
        }
        request.resume();
        const { discovery, settings, draining } = this.state;
        sendJson(response, 200, discovery.createResponse(draining ? settings.name : undefined), {
            "cache-control": `max-age=${settings.discoverySeconds}`,
        });
    }

    /** Refuses a request; closes its connection after the response if the body has not been received completely. */
    private refuse(request: IncomingMessage, response: ServerResponse, reportedFailure: Failure): void {
        const bodyIncomplete = !request.complete;
        if (bodyIncomplete) {
            request.resume();
            response.once("finish", () => {
                request.socket.destroySoon();
            });
        }
        sendFailure(response, reportedFailure, {
            ...bodyIncomplete ? { connection: "close" } : {},
            ...reportedFailure.code === "requestMemoryExhausted" ? createRetryAfterHeader(memoryRetryAfter) : {},
        });
    }

    /** Destroys the response if the caller does not read the rest of it before the timeout. */
    private startReadTimeout(response: ServerResponse): void {
        if (response.writableFinished || response.destroyed) {
            return;
        }
        const { deadlines, clock } = this.state;
        const timeoutController = new AbortController();
        deadlines.set(timeoutController, clock.now() + callerReadTimeout);
        timeoutController.signal.addEventListener("abort", () => {
            abortResponse(response);
        }, { once: true });
        response.once("close", () => {
            deadlines.clear(timeoutController);
        });
    }

    private recordRefused(socket: Duplex, { code }: Failure): void {
        this.state.metrics.counters.count("callersRefused");
        const address = "remoteAddress" in socket ? String(socket.remoteAddress) : "unknown";
        this.state.eventLog.write("callerRefused", { address, code });
    }
}
