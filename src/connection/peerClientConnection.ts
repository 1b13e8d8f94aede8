import type { EventLog } from "../logEvent/eventLog.js";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import type { HostAndPort } from "../util/socketAddress.js";
import { MessageConnection } from "./messageConnection.js";
import type { PeerIdentity } from "./peerHello.js";
import { checkHello, createHelloFrame, parsePeerFrame } from "./peerHello.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";
import type { PeerSecurity } from "./peerSecurity.js";

/**
 * Maximum time without a message from a peer that has an unanswered request, in milliseconds.
 *
 * After a network partition, TCP may wait for minutes before its next retransmission, whereas a new connection succeeds
 * at once.
 */
const peerSilenceTimeoutMilliseconds = 2000;

/** Options of a {@link PeerClientConnection}. */
export interface PeerClientConnectionOptions {
    readonly identity: PeerIdentity;
    readonly security: PeerSecurity;
    readonly events: EventLog;
}

/** An outgoing connection, on which this process sends requests to another control process. */
export class PeerClientConnection implements Disposable {
    private readonly pendingRequests = new Map<number, (response: PeerResponse | undefined) => void>();
    private readonly connection: MessageConnection;
    private readonly ready: Promise<boolean>;
    private nextRequestId = 1;
    private lastReceivedAt: Milliseconds = performance.now();

    /** Starts to connect. */
    constructor(private readonly options: PeerClientConnectionOptions, private readonly address: HostAndPort) {
        const socket = options.security.connect(address, () => {
            this.connection.send(createHelloFrame(options.identity));
        });
        this.connection = new MessageConnection(socket);
        this.ready = new Promise(resolve => {
            void this.run(resolve);
        });
    }

    /** Whether requests can no longer be sent. */
    get closed(): boolean {
        return this.connection.closed;
    }

    /** Sends a request; resolves with undefined if no response arrives before the timeout. */
    async request(request: PeerRequest, timeout: Milliseconds): Promise<PeerResponse | undefined> {
        return new Promise(resolve => {
            const id = this.nextRequestId;
            this.nextRequestId += 1;
            const settle = (response: PeerResponse | undefined): void => {
                clearTimeout(timer);
                this.pendingRequests.delete(id);
                resolve(response);
            };
            const timer = setTimeout(() => {
                settle(undefined);
                this.closeIfSilent(performance.now());
            }, timeout);
            this.pendingRequests.set(id, settle);
            void this.ready.then(ready => {
                if (!ready) {
                    settle(undefined);
                }
                else if (this.pendingRequests.has(id)) {
                    this.connection.send({ kind: "request", id, request });
                }
            });
        });
    }

    [Symbol.dispose](): void {
        this.connection[Symbol.dispose]();
    }

    private closeIfSilent(now: Milliseconds): void {
        if (now - this.lastReceivedAt > peerSilenceTimeoutMilliseconds) {
            this.connection[Symbol.dispose]();
        }
    }

    private async run(onReady: (ready: boolean) => void): Promise<void> {
        const helloTimer = setTimeout(() => {
            this.connection[Symbol.dispose]();
        }, peerSilenceTimeoutMilliseconds);
        const error = await this.readMessages(() => {
            clearTimeout(helloTimer);
            onReady(true);
        });
        clearTimeout(helloTimer);
        if (error !== undefined) {
            const address = `${this.address.host}:${this.address.port}`;
            this.options.events.write("peerRefused", { address, code: error.code });
        }
        onReady(false);
        for (const settle of [...this.pendingRequests.values()]) {
            settle(undefined);
        }
    }

    /** Handles messages until the connection ends or receives an invalid one; returns the reason, if any. */
    private async readMessages(onHello: () => void): Promise<Failure | undefined> {
        let helloReceived = false;
        for await (const message of this.connection.messages()) {
            this.lastReceivedAt = performance.now();
            if (!helloReceived) {
                const hello = checkHello(this.options.identity, message);
                if (hello.err) {
                    return hello.val;
                }
                helloReceived = true;
                this.logConnected(hello.val);
                onHello();
                continue;
            }
            const frame = parsePeerFrame(message);
            if (frame.err) {
                return frame.val;
            }
            if (frame.val.kind === "goodbye") {
                return failure("peerMessageInvalid", {
                    reason: `the peer closed the connection with code ${frame.val.code}`,
                });
            }
            if (frame.val.kind === "response") {
                this.pendingRequests.get(frame.val.id)?.(frame.val.response);
            }
        }
        return this.connection.failure;
    }

    private logConnected(memberId: string): void {
        this.options.events.write("peerConnected", { address: `${this.address.host}:${this.address.port}`, memberId });
    }
}
