import type { EventLog } from "../logEvent/eventLog.js";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import type { HostAndPort } from "../util/socketAddress.js";
import { MessageConnection } from "./messageConnection.js";
import type { PeerIntroduction } from "./peerHello.js";
import { checkHello, helloFrame, readPeerFrame } from "./peerHello.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";
import type { PeerSecurity } from "./peerSecurity.js";

/**
 * Longest silence of a peer that owes an answer, in milliseconds.
 *
 * After a partition the system's own retransmissions may wait for minutes; a new connection gets through at once.
 */
const longestSilence = 2000;

/** What a connection to a peer needs. */
export interface PeerClientParts {
    readonly introduction: PeerIntroduction;
    readonly security: PeerSecurity;
    readonly events: EventLog;
}

/** A connection that this process has opened to send requests to another control process. */
export class PeerClientConnection implements Disposable {
    private readonly pending = new Map<number, (response: PeerResponse | undefined) => void>();
    private readonly connection: MessageConnection;
    private readonly ready: Promise<boolean>;
    private nextId = 1;
    private heardAt: Milliseconds = performance.now();

    /** Begins to connect. */
    constructor(private readonly parts: PeerClientParts, private readonly address: HostAndPort) {
        const socket = parts.security.connect(address, () => {
            this.connection.send(helloFrame(parts.introduction));
        });
        this.connection = new MessageConnection(socket);
        this.ready = new Promise(resolve => {
            void this.run(resolve);
        });
    }

    /** Whether nothing more can be sent. */
    get closed(): boolean {
        return this.connection.closed;
    }

    /** Sends a request; resolves with undefined when no answer arrives in time. */
    async request(request: PeerRequest, timeout: Milliseconds): Promise<PeerResponse | undefined> {
        return new Promise(resolve => {
            const id = this.nextId;
            this.nextId += 1;
            const settle = (response: PeerResponse | undefined): void => {
                clearTimeout(timer);
                this.pending.delete(id);
                resolve(response);
            };
            const timer = setTimeout(() => {
                settle(undefined);
                this.closeIfSilent(performance.now());
            }, timeout);
            this.pending.set(id, settle);
            void this.ready.then(ready => {
                if (!ready) {
                    settle(undefined);
                }
                else if (this.pending.has(id)) {
                    this.connection.send({ kind: "request", id, request });
                }
            });
        });
    }

    [Symbol.dispose](): void {
        this.connection[Symbol.dispose]();
    }

    private closeIfSilent(now: Milliseconds): void {
        if (now - this.heardAt > longestSilence) {
            this.connection[Symbol.dispose]();
        }
    }

    private async run(onReady: (ready: boolean) => void): Promise<void> {
        const patience = setTimeout(() => {
            this.connection[Symbol.dispose]();
        }, longestSilence);
        const fault = await this.read(() => {
            clearTimeout(patience);
            onReady(true);
        });
        clearTimeout(patience);
        if (fault !== undefined) {
            const address = `${this.address.host}:${this.address.port}`;
            this.parts.events.write("peerRefused", { address, code: fault.code });
        }
        onReady(false);
        for (const settle of [...this.pending.values()]) {
            settle(undefined);
        }
    }

    /** Reads until the connection ends or its content is at fault. */
    private async read(onIntroduced: () => void): Promise<Failure | undefined> {
        let introduced = false;
        for await (const message of this.connection.messages()) {
            this.heardAt = performance.now();
            if (!introduced) {
                const hello = checkHello(this.parts.introduction, message);
                if (hello.err) {
                    return hello.val;
                }
                introduced = true;
                this.reportConnected(hello.val);
                onIntroduced();
                continue;
            }
            const frame = readPeerFrame(message);
            if (frame.err) {
                return frame.val;
            }
            if (frame.val.kind === "goodbye") {
                return failure("peerMessageInvalid", { reason: `refused with ${frame.val.code}` });
            }
            if (frame.val.kind === "response") {
                this.pending.get(frame.val.id)?.(frame.val.response);
            }
        }
        return this.connection.fault;
    }

    private reportConnected(memberId: string): void {
        this.parts.events.write("peerConnected", { address: `${this.address.host}:${this.address.port}`, memberId });
    }
}
