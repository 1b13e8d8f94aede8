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

/** Silence after which a link is given up and opened anew: a partition may keep a connection from ever failing. */
const longestSilence: Milliseconds = 1_500;

/** Silence after which a link is given up, in pauses between beats, where these are long. */
const silentBeats = 3;

/** What the links of an entry work on. */
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
    /** Engine time that this entry's calls take of each service, in milliseconds a second. */
    readonly work: (now: Milliseconds) => ServiceWork;
    /** Called with the engine time that the calls of all entries take. */
    readonly onWork: (work: ServiceWork) => void;
    readonly onEndpoints: (endpoints: readonly EndpointRecord[], age: Milliseconds) => void;
    /** Called with the hosts of control processes, and of their leader where one is known. */
    readonly onControlHosts: (hosts: readonly string[], leaderHost: string | undefined) => void;
    readonly onEntryCount: (entries: number) => void;
}

/** The link of this entry to one control process. */
export class ControlLink implements KeptLink {
    private readonly socket: Socket;
    private readonly connection: MessageConnection;
    /** When beats that wait for an answer were sent, by their numbers. */
    private readonly sentAt = new Map<number, Milliseconds>();
    private nextNumber = 1;
    private sentCounts = 0;
    private heardAt: Milliseconds;
    private isGreeted = false;
    private hasAnswered = false;
    private leads = false;
    private endReason = "the other side closed it";

    constructor(private readonly address: string, private readonly context: ControlLinkContext) {
        this.socket = connect(splitAddress(address), () => {
            this.greet();
        });
        this.connection = new MessageConnection(this.socket);
        this.heardAt = context.clock.now();
    }

    /** Whether the other side has answered, and the link stands. */
    get isUp(): boolean {
        return this.hasAnswered && !this.connection.closed;
    }

    /** Whether the other side leads the control processes. */
    get isLeader(): boolean {
        return this.isUp && this.leads;
    }

    /** Reads until the link ends. */
    async run(): Promise<void> {
        for await (const received of this.connection.messages()) {
            const message = controlMessageSchema.safeParse(received);
            if (!message.success) {
                this.endReason = "a message is malformed";
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
     * Tells how this entry stands; gives the link up when the other side has been silent for too long.
     *
     * @param interval Pause between two beats at present.
     */
    beat(wantsPermit: boolean, interval: Milliseconds, now: Milliseconds): void {
        if (now - this.heardAt > Math.max(longestSilence, interval * silentBeats)) {
            this.close("it was silent");
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

    /** Ends the link. */
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
                this.close("it tells what is for control processes alone");
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
        // The leader's answers alone, so that all entries divide engines by the same figures.
        if (answer.isLeader) {
            this.context.onWork(answer.work);
        }
    }
}
