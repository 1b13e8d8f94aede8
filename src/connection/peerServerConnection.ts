import type { EventLog } from "../logEvent/eventLog.js";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { MessageConnection } from "./messageConnection.js";
import type { PeerIntroduction } from "./peerHello.js";
import { checkHello, helloFrame, helloTimeout, readPeerFrame } from "./peerHello.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";

/** What an accepted connection needs. */
export interface PeerServerParts {
    readonly introduction: PeerIntroduction;
    readonly events: EventLog;
    /** Answers a request; undefined leaves it unanswered. */
    readonly answer: (request: PeerRequest) => Promise<PeerResponse | undefined>;
}

/** A connection that another control process has opened to send requests. */
export class PeerServerConnection implements Disposable {
    constructor(private readonly parts: PeerServerParts, private readonly connection: MessageConnection) {}

    /** Serves the connection until it ends. */
    async run(): Promise<void> {
        const { introduction } = this.parts;
        const patience = setTimeout(() => {
            this.refuse(failure("peerHelloMissing"));
        }, helloTimeout);
        let introduced = false;
        for await (const message of this.connection.messages()) {
            if (!introduced) {
                clearTimeout(patience);
                const hello = checkHello(introduction, message);
                if (hello.err) {
                    this.refuse(hello.val);
                    break;
                }
                introduced = true;
                this.connection.send(helloFrame(introduction));
                continue;
            }
            const frame = readPeerFrame(message);
            if (frame.err) {
                this.refuse(frame.val);
                break;
            }
            if (frame.val.kind === "request") {
                void this.serve(frame.val.id, frame.val.request);
            }
        }
        clearTimeout(patience);
        if (this.connection.fault !== undefined) {
            this.report(this.connection.fault);
        }
    }

    [Symbol.dispose](): void {
        this.connection[Symbol.dispose]();
    }

    private async serve(id: number, request: PeerRequest): Promise<void> {
        try {
            const response = await this.parts.answer(request);
            if (response !== undefined) {
                this.connection.send({ kind: "response", id, response });
            }
        }
        catch (error) {
            this.parts.events.write("taskFailed", { task: `peer request ${request.kind}`, reason: String(error) });
        }
    }

    private refuse(reason: Failure): void {
        this.report(reason);
        this.connection.send({ kind: "goodbye", code: reason.code });
        this.connection.end();
    }

    private report(reason: Failure): void {
        this.parts.events.write("peerRefused", { address: this.connection.remoteAddress, code: reason.code });
    }
}
