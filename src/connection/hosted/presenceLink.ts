import { connect } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EndpointReading } from "../../process/hosted/control/endpointLists.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { SuspensionDetector } from "../../util/suspensionDetector.js";
import { MessageConnection } from "../messageConnection.js";
import { controlMessageSchema, linkProtocolVersion } from "./linkMessages.js";
import type { ControlMessage, ListState, PresentEntry } from "./linkMessages.js";
import type { ReopenableLink } from "./linkSet.js";
import { ReceivedEndpoints } from "./receivedEndpoints.js";

/** Time without a message after which a link is reopened; the other side sends several in this time. */
const silenceTimeout: Milliseconds = 2_000;

/**
 * Number of messages without an answer after which no more are sent: an earlier build answers none, but reports all its
 * entries each time.
 */
const maximumUnanswered = 16;

/** Dependencies and callbacks that all presence links of a control process share. */
export interface PresenceLinkContext {
    /** Name of this control process. */
    readonly control: string;
    readonly clock: Clock;
    readonly suspensionDetector: SuspensionDetector;
    readonly eventLog: EventLog;
    /** Called with the entries that are linked to the other control process. */
    readonly onPresence: (address: string, entries: readonly PresentEntry[]) => void;
    /** Called with each list of endpoints that the other control process has read, and while it stays current. */
    readonly onEndpoints: (reading: EndpointReading) => void;
}

/** Connection to another control process, which reports the entries that are linked to it and the endpoints that it reads. */
export class PresenceLink implements ReopenableLink {
    private readonly connection: MessageConnection;
    private readonly receivedEndpoints = new ReceivedEndpoints();
    /** When the messages without an answer so far were sent, by number. */
    private readonly unansweredSentAt = new Map<number, Milliseconds>();
    private nextNumber = 1;
    /** What is received from now on was sent at this time or later, by the suspension detector's time. */
    private sentAfter: Milliseconds;
    private isConnected = false;
    private isAnswered = false;
    private closeReason = "the other control process closed the connection";

    /**
     * @param address Host and port of the other control process.
     */
    constructor(private readonly address: string, private readonly context: PresenceLinkContext) {
        this.sentAfter = context.suspensionDetector.now();
        const socket = connect(splitAddress(address), () => {
            this.isConnected = true;
            this.observe();
        });
        this.connection = new MessageConnection(socket);
    }

    /** Asks for the state of the other control process's list of endpoints; also subscribes the first time. */
    observe(): void {
        if (!this.isConnected || this.unansweredSentAt.size >= maximumUnanswered) {
            return;
        }
        const number = this.nextNumber++;
        this.unansweredSentAt.set(number, this.context.suspensionDetector.now());
        this.connection.send({ kind: "observe", protocol: linkProtocolVersion, control: this.context.control, number });
    }

    get isUp(): boolean {
        return this.isAnswered && !this.connection.closed;
    }

    get hasResponded(): boolean {
        return this.isAnswered;
    }

    /** Handles messages until the connection is closed. */
    async run(): Promise<void> {
        let lastReceivedAt = this.context.clock.now();
        const silenceTimer = setInterval(() => {
            if (this.context.clock.now() - lastReceivedAt > silenceTimeout) {
                this.close("no message received within the timeout");
            }
        }, silenceTimeout / 2);
        for await (const received of this.connection.messages()) {
            const message = controlMessageSchema.safeParse(received);
            if (!message.success || !this.handleMessage(message.data)) {
                this.closeReason = "received a malformed message";
                break;
            }
            lastReceivedAt = this.context.clock.now();
        }
        clearInterval(silenceTimer);
        this.connection[Symbol.dispose]();
        if (this.isAnswered) {
            this.context.eventLog.write("presenceLinkEnded", { address: this.address, reason: this.closeReason });
        }
    }

    close(reason: string): void {
        this.closeReason = reason;
        this.connection[Symbol.dispose]();
    }

    /** @returns Whether the message is one for control processes that refers to what was received before. */
    private handleMessage(message: ControlMessage): boolean {
        return match(message)
            .with({ kind: "presence" }, ({ entries }) => {
                this.handlePresence(entries);
                return true;
            })
            .with({ kind: "endpoints" }, { kind: "endpointChanges" }, endpoints => {
                if (!this.receivedEndpoints.apply(endpoints)) {
                    return false;
                }
                this.reportEndpoints(endpoints);
                return true;
            })
            .with({ kind: "listState" }, state => {
                this.handleListState(state);
                return true;
            })
            .otherwise(() => false);
    }

    private handleListState({ number, endpointList }: Extract<ControlMessage, { kind: "listState"; }>): void {
        this.sentAfter = Math.max(this.sentAfter, this.unansweredSentAt.get(number) ?? -Infinity);
        for (const sent of this.unansweredSentAt.keys()) {
            if (sent <= number) {
                this.unansweredSentAt.delete(sent);
            }
        }
        if (endpointList !== undefined && endpointList.revision === this.receivedEndpoints.revision) {
            this.reportEndpoints(endpointList);
        }
    }

    private reportEndpoints({ age }: Pick<ListState, "age">): void {
        const polledAt = this.sentAfter - age;
        const latest = this.context.suspensionDetector.now() - age;
        this.context.onEndpoints({
            endpoints: this.receivedEndpoints.records,
            polledAt,
            uncertainty: latest - polledAt,
        });
    }

    private handlePresence(entries: readonly PresentEntry[]): void {
        if (!this.isAnswered) {
            this.isAnswered = true;
            this.context.eventLog.write("presenceLinkBegan", { address: this.address, entries: entries.length });
        }
        this.context.onPresence(this.address, entries);
    }
}
