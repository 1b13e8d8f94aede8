import { connect } from "node:net";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EndpointRecord } from "../../process/hosted/endpointRecord.js";
import type { CallCounts } from "../../process/hosted/entry/callCounts.js";
import type { DeploymentView } from "../../process/hosted/entry/deploymentView.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { MedianClock } from "../../util/medianClock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { SuspensionWatch } from "../../util/suspensionWatch.js";
import { MessageConnection } from "../messageConnection.js";
import { controlMessageSchema, linkProtocolVersion } from "./linkMessages.js";
import type { BeatAnswer, ControlMessage, EntryMessage, ServiceWork } from "./linkMessages.js";
import type { KeptLink } from "./linkSet.js";

/**
 * Time without a message after which a link is reopened: in a network partition the connection may never fail by
 * itself.
 */
const longestSilence: Milliseconds = 1_500;

/** The same time as a multiple of the heartbeat interval; the longer one applies. */
const silentBeats = 3;

/** Dependencies and callbacks that all control links of an entry share. */
export interface ControlLinkContext {
    readonly entry: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly clock: Clock;
    readonly suspension: SuspensionWatch;
    readonly medianClock: MedianClock;
    readonly eventLog: EventLog;
    readonly view: DeploymentView;
    readonly counts: CallCounts;
    readonly isReady: () => boolean;
    /** Engine time used by this entry's calls, by service, in milliseconds per second. */
    readonly work: (now: Milliseconds) => ServiceWork;
    /** Called with the engine time used by the calls of all entries. */
    readonly onWork: (work: ServiceWork) => void;
    readonly onEndpoints: (endpoints: readonly EndpointRecord[], age: Milliseconds) => void;
    /** Called with the hosts of the control processes, and with the leader's host if one is known. */
    readonly onControlHosts: (hosts: readonly string[], leaderHost: string | undefined) => void;
    readonly onEntryCount: (entries: number) => void;
}

/** Connection of this entry to one control process. */
export class ControlLink implements KeptLink {
    private readonly socket: Socket;
    private readonly connection: MessageConnection;
    /** When the heartbeats without a response so far were sent, by heartbeat number. */
    private readonly sentAt = new Map<number, Milliseconds>();
    private nextNumber = 1;
    private sentCounts = 0;
    private heardAt: Milliseconds;
    private isGreeted = false;
    private hasAnswered = false;
    private leads = false;
    private endReason = "the control process closed the connection";

    constructor(private readonly address: string, private readonly context: ControlLinkContext) {
        this.socket = connect(splitAddress(address), () => {
            this.greet();
        });
        this.connection = new MessageConnection(this.socket);
        this.heardAt = context.clock.now();
    }

    /** Whether the control process has responded and the connection is open. */
    get isUp(): boolean {
        return this.hasAnswered && !this.connection.closed;
    }

    /** Whether the link is up and its control process is the leader. */
    get isLeader(): boolean {
        return this.isUp && this.leads;
    }

    /** Handles messages until the connection is closed. */
    async run(): Promise<void> {
        for await (const received of this.connection.messages()) {
            const message = controlMessageSchema.safeParse(received);
            if (!message.success) {
                this.endReason = "received a malformed message";
                break;
            }
            this.heardAt = this.context.clock.now();
            this.take(message.data);
        }
        this.connection[Symbol.dispose]();
        if (this.isGreeted) {
            this.context.eventLog.write("controlLinkEnded", { address: this.address, reason: this.endReason });
        }
    }

    /**
     * Sends a heartbeat with the state of this entry; closes the link if nothing was received for too long.
     *
     * @param wantsPermit Whether the control process shall confirm the configuration version with a quorum.
     * @param interval Current interval between heartbeats.
     */
    beat(wantsPermit: boolean, interval: Milliseconds, now: Milliseconds): void {
        if (now - this.heardAt > Math.max(longestSilence, interval * silentBeats)) {
            this.close("no message received within the timeout");
            return;
        }
        if (!this.isGreeted) {
            return;
        }
        const { clock, suspension, view, counts, isReady } = this.context;
        const number = this.nextNumber++;
        this.sentAt.set(number, suspension.now());
        const usage = counts.totalsSince(this.sentCounts);
        const tellsCounts = counts.version !== this.sentCounts;
        this.sentCounts = counts.version;
        this.send({
            kind: "beat",
            number,
            unixTime: clock.unixNow(),
            version: view.version,
            isReady: isReady(),
            interval,
            wantsPermit,
            work: this.context.work(now),
            ...tellsCounts ? { usage } : {},
        });
    }

    /** Closes the connection; the reason is logged. */
    close(reason: string): void {
        this.endReason = reason;
        this.connection[Symbol.dispose]();
    }

    private greet(): void {
        const { entry, incarnation, failureDomain, callerAddress, view, eventLog } = this.context;
        this.isGreeted = true;
        this.send({
            kind: "hello",
            protocol: linkProtocolVersion,
            entry,
            incarnation,
            failureDomain,
            callerAddress,
            version: view.version,
        });
        eventLog.write("controlLinkBegan", { address: this.address });
        this.beat(true, 0, this.context.clock.now());
    }

    private send(message: EntryMessage): void {
        this.connection.send(message);
    }

    private take(message: ControlMessage): void {
        match(message)
            .with({ kind: "configuration" }, ({ version, body }) => {
                this.context.view.take(version, body);
            })
            .with({ kind: "endpoints" }, ({ endpoints, age }) => {
                this.context.onEndpoints(endpoints, age);
            })
            .with({ kind: "beatAnswer" }, answer => {
                this.takeAnswer(answer);
            })
            .with({ kind: "presence" }, () => {
                this.close("received a message that only control processes may receive");
            })
            .exhaustive();
    }

    private takeAnswer(answer: BeatAnswer): void {
        const { clock, medianClock, view, onControlHosts, onEntryCount } = this.context;
        const sentAt = this.sentAt.get(answer.number);
        this.sentAt.delete(answer.number);
        this.hasAnswered = true;
        this.leads = answer.isLeader;
        medianClock.note(this.address, answer.unixTime, clock.now());
        if (answer.confirmedVersion !== undefined && sentAt !== undefined) {
            view.confirm(sentAt, answer.confirmedVersion);
        }
        onControlHosts(answer.controlHosts, answer.leaderHost);
        onEntryCount(answer.entryCount);
        // Only the leader's totals are used, so that all entries partition the engines by the same figures.
        if (answer.isLeader) {
            this.context.onWork(answer.work);
        }
    }
}
