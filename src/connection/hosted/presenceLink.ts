import { connect } from "node:net";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import { MessageConnection } from "../messageConnection.js";
import { controlMessageSchema, linkProtocolVersion } from "./linkMessages.js";
import type { PresentEntry } from "./linkMessages.js";
import type { KeptLink } from "./linkSet.js";

/** Silence after which a link is given up; the other side tells several times in this span. */
const longestSilence: Milliseconds = 2_000;

/** The link of this control process to another one, which tells which entries are linked to it. */
export class PresenceLink implements KeptLink {
    private readonly connection: MessageConnection;
    private hasAnswered = false;
    private endReason = "the other side closed it";

    /**
     * @param control Name of this control process.
     * @param onPresence Called with the entries that are linked to the other one.
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
        return this.hasAnswered && !this.connection.closed;
    }

    /** Reads until the link ends. */
    async run(): Promise<void> {
        let heardAt = this.clock.now();
        const watch = setInterval(() => {
            if (this.clock.now() - heardAt > longestSilence) {
                this.close("it was silent");
            }
        }, longestSilence / 2);
        for await (const received of this.connection.messages()) {
            const message = controlMessageSchema.safeParse(received);
            if (!message.success || message.data.kind !== "presence") {
                this.endReason = "a message is malformed";
                break;
            }
            heardAt = this.clock.now();
            this.take(message.data.entries);
        }
        clearInterval(watch);
        this.connection[Symbol.dispose]();
        if (this.hasAnswered) {
            this.eventLog.write("presenceLinkEnded", { address: this.address, reason: this.endReason });
        }
    }

    close(reason: string): void {
        this.endReason = reason;
        this.connection[Symbol.dispose]();
    }

    private take(entries: readonly PresentEntry[]): void {
        if (!this.hasAnswered) {
            this.hasAnswered = true;
            this.eventLog.write("presenceLinkBegan", { address: this.address, entries: entries.length });
        }
        this.onPresence(entries);
    }
}
