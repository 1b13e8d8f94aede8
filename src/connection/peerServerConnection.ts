import type { EventLog } from "../logEvent/eventLog.js";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { MessageConnection } from "./messageConnection.js";
import type { PeerIdentity } from "./peerHello.js";
import { checkHello, createHelloFrame, helloTimeoutMilliseconds, parsePeerFrame } from "./peerHello.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";

/** Options of a {@link PeerServerConnection}. */
export interface PeerServerConnectionOptions {
    readonly identity: PeerIdentity;
    readonly events: EventLog;
    /** Handles a request; sends no response if the result is undefined. */
    readonly handleRequest: (request: PeerRequest) => Promise<PeerResponse | undefined>;
}

/** An accepted connection, on which another control process sends requests. */
export class PeerServerConnection implements Disposable {
    constructor(
        private readonly options: PeerServerConnectionOptions,
        private readonly connection: MessageConnection,
    ) {}

    /** Handles messages until the connection ends. */
    async run(): Promise<void> {
        const { identity } = this.options;
        const helloTimer = setTimeout(() => {
            this.refuse(failure("peerHelloMissing"));
        }, helloTimeoutMilliseconds);
        let helloReceived = false;
        for await (const message of this.connection.messages()) {
            if (!helloReceived) {
                clearTimeout(helloTimer);
                const hello = checkHello(identity, message);
                if (hello.err) {
                    this.refuse(hello.val);
                    break;
                }
                helloReceived = true;
                this.connection.send(createHelloFrame(identity));
                continue;
            }
            const frame = parsePeerFrame(message);
            if (frame.err) {
                this.refuse(frame.val);
                break;
            }
            if (frame.val.kind === "request") {
                void this.respond(frame.val.id, frame.val.request);
            }
        }
        clearTimeout(helloTimer);
        if (this.connection.failure !== undefined) {
            this.logRefusal(this.connection.failure);
        }
    }

    [Symbol.dispose](): void {
        this.connection[Symbol.dispose]();
    }

    private async respond(id: number, request: PeerRequest): Promise<void> {
        try {
            const response = await this.options.handleRequest(request);
            if (response !== undefined) {
                this.connection.send({ kind: "response", id, response });
            }
        }
        catch (error) {
            this.options.events.write("taskFailed", { task: `peer request ${request.kind}`, reason: String(error) });
        }
    }

    private refuse(reason: Failure): void {
        this.logRefusal(reason);
        this.connection.send({ kind: "goodbye", code: reason.code });
        this.connection.end();
    }

    private logRefusal(reason: Failure): void {
        this.options.events.write("peerRefused", { address: this.connection.remoteAddress, code: reason.code });
    }
}
