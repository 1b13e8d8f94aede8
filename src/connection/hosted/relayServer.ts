import { randomBytes, timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { failure } from "../../resultCode/resultCode.js";
import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { listen } from "../../util/socketAddress.js";
import { sendFailure } from "../httpResponse.js";
import type { HttpListener } from "../server/httpListener.js";
import type { HttpListeners } from "../server/httpListeners.js";
import { readRelayedCall, relayHeaderNames } from "./relayHeaders.js";
import type { RelayedCall, ResponseSource } from "./relayHeaders.js";

/** Maximum number of calls that run for other entries at the same time. */
const maximumRelayedCalls = 256;

/** Maximum size of request headers, in bytes. */
const maximumHeaderBytes = 64 * 1024;

/** Idle timeout of connections from other entries. */
const idleTimeout: Milliseconds = 15_000;

const tokenBytes = 16;

/** Accepts calls from entries that are cut off from all endpoints. */
export class RelayServer implements Disposable {
    /** Must accompany each call; told to other entries by control processes alone. */
    readonly token = randomBytes(tokenBytes).toString("hex");
    private readonly listener: HttpListener;
    private runningCalls = 0;

    /**
     * @param maximumBodyBytes Returns the maximum size of a body, in bytes.
     * @param serve Handles a call; called only for those with the token.
     * @param onRejected Called when a call is rejected before it is handled.
     */
    constructor(
        listeners: HttpListeners,
        maximumBodyBytes: () => number,
        private readonly serve: (request: IncomingMessage, response: ServerResponse, call: RelayedCall) => void,
        private readonly onRejected: (request: IncomingMessage, code: ResultCode) => void,
    ) {
        const server = {
            maxHeaderSize: maximumHeaderBytes,
            noDelay: true,
            keepAliveTimeout: idleTimeout,
            requestTimeout: 0,
        };
        this.listener = listeners.create({ name: "relay", maximumBodyBytes, server }, (request, response) => {
            this.accept(request, response);
        });
    }

    /** Listens on an address; resolves with the address that is bound. */
    start(address: string): Promise<string> {
        return listen(this.listener.server, address);
    }

    [Symbol.dispose](): void {
        this.listener.server.close();
        this.listener.server.closeAllConnections();
    }

    private accept(request: IncomingMessage, response: ServerResponse): void {
        response.sendDate = false;
        const call = readRelayedCall(request.headers);
        if (call?.version !== undefined) {
            // Holds for all responses but those that are marked as an endpoint's.
            response.setHeader(relayHeaderNames.source, "entry" satisfies ResponseSource);
        }
        if (call === undefined || !this.isAuthorized(request)) {
            this.reject(request, response, "relayForbidden");
            return;
        }
        if (this.runningCalls >= maximumRelayedCalls) {
            this.reject(request, response, call.executions > 0 ? "callOutcomeUnknown" : "endpointsBusy");
            return;
        }
        this.runningCalls++;
        response.once("close", () => {
            this.runningCalls--;
        });
        this.serve(request, response, call);
    }

    private reject(request: IncomingMessage, response: ServerResponse, code: ResultCode): void {
        request.resume();
        this.onRejected(request, code);
        sendFailure(response, failure(code));
    }

    private isAuthorized({ headers }: IncomingMessage): boolean {
        const token = Buffer.from(String(headers[relayHeaderNames.token] ?? ""));
        const expected = Buffer.from(this.token);
        return token.length === expected.length && timingSafeEqual(token, expected);
    }
}
