import { connect } from "node:net";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { MessageConnection } from "../messageConnection.js";
import { controlMessageSchema, linkProtocolVersion } from "./linkMessages.js";
import type { PresentEntry } from "./linkMessages.js";
import type { ReopenableLink } from "./linkSet.js";

/** Time without a message after which a link is reopened; the other side sends several in this time. */
const silenceTimeout: Milliseconds = 2_000;

/** Connection to another control process, which reports the entries that are linked to it. */
export class PresenceLink implements ReopenableLink {
    private readonly connection: MessageConnection;
    private isAnswered = false;
    private closeReason = "the other control process closed the connection";

    /**
     * @param control Name of this control process.
     * @param onPresence Called with the entries that are linked to the other control process.
     */
    constructor(
        private readonly address: string,
        control: string,
        private readonly clock: Clock,
        private readonly eventLog: EventLog,
        private readonly onPresence: (entries: readonly PresentEntry[]) => void,
    ) {
        const socket = connect(splitAddress(address), () => {
            this.connection.send({ kind: "observe", protocol: linkProtocolVersion, control });
        });
        this.connection = new MessageConnection(socket);
    }

    get isUp(): boolean {
        return this.isAnswered && !this.connection.closed;
    }

    get hasResponded(): boolean {
        return this.isAnswered;
    }

    /** Handles messages until the connection is closed. */
    async run(): Promise<void> {
        let lastReceivedAt = this.clock.now();
        const silenceTimer = setInterval(() => {
            if (this.clock.now() - lastReceivedAt > silenceTimeout) {
                this.close("no message received within the timeout");
            }
        }, silenceTimeout / 2);
        for await (const received of this.connection.messages()) {
            const message = controlMessageSchema.safeParse(received);
            if (!message.success || message.data.kind !== "presence") {
                this.closeReason = "received a malformed message";
                break;
            }
            lastReceivedAt = this.clock.now();
            this.handlePresence(message.data.entries);
        }
        clearInterval(silenceTimer);
        this.connection[Symbol.dispose]();
        if (this.isAnswered) {
            this.eventLog.write("presenceLinkEnded", { address: this.address, reason: this.closeReason });
        }
    }

    close(reason: string): void {
        this.closeReason = reason;
        this.connection[Symbol.dispose]();
    }

    private handlePresence(entries: readonly PresentEntry[]): void {
        if (!this.isAnswered) {
            this.isAnswered = true;
            this.eventLog.write("presenceLinkBegan", { address: this.address, entries: entries.length });
        }
        this.onPresence(entries);
    }
}
