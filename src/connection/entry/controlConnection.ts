import { Decoder } from "cbor-x";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { OwnerDemand, OwnerShare } from "../../process/control/limitAllocator.js";
import type { PoolSummaryRow } from "../../process/control/poolSummaryAggregator.js";
import type { EntryConfiguration } from "../../process/entry/entryConfiguration.js";
import type { RequestQuarantine } from "../../process/entry/requestQuarantine.js";
import type { ServingPermit } from "../../process/entry/servingPermit.js";
import type { UsageRecorder } from "../../process/entry/usageRecorder.js";
import { summaryInterval } from "../../request/admission/remoteLoad.js";
import type { Clock, Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { ConfigurationSnapshot } from "../../version/configurationChange.js";
import { controlToEntrySchema } from "../controlToEntrySchema.js";
import { entryProtocolVersion } from "../entryMessages.js";
import type { ControlToEntry, EntryListing, EntryStatus, EntryToControl } from "../entryMessages.js";
import { MessageConnection } from "../messageConnection.js";
import type { ControlClaimStore } from "./controlClaimStore.js";

/** Interval between two permit requests, which also carry the pool summaries, in milliseconds. */
const permitInterval: Milliseconds = summaryInterval;

/** Maximum time without a message from the control process, in milliseconds; also the connect timeout. */
const responseTimeout: Milliseconds = 1000;

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Identity of an entry, sent to control processes in its hello. */
export interface EntryIdentity {
    readonly cluster: string;
    readonly entry: string;
    readonly incarnation: string;
    /** Wall-clock time at which the incarnation began, in Unix milliseconds. */
    readonly startedAt: UnixMilliseconds;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly metricsAddress: string;
}

/** State and callbacks that a {@link ControlConnection} uses. */
export interface ControlConnectionContext {
    /** The current identity; its incarnation changes when a control process has declared the previous one ended. */
    readonly identity: () => EntryIdentity;
    /** Begins a new incarnation if the given one is current. */
    readonly renewIncarnation: (ended: string) => void;
    readonly usage: UsageRecorder;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly configuration: EntryConfiguration;
    readonly permit: ServingPermit;
    readonly status: () => EntryStatus;
    /** Called when an operator requested that this entry stop gracefully. */
    readonly onDrain: () => void;
    /** Returns the summaries of this entry's pools; called once per regular permit request, as is `collectDemands`. */
    readonly summarizePools: (now: Milliseconds) => readonly PoolSummaryRow[];
    readonly collectDemands: (now: Milliseconds) => readonly OwnerDemand[];
    readonly onPoolSums: (sums: readonly PoolSummaryRow[], now: Milliseconds) => void;
    readonly onLimitShares: (shares: readonly OwnerShare[], now: Milliseconds) => void;
    readonly onListing: (entries: readonly EntryListing[]) => void;
    readonly claims: ControlClaimStore;
    readonly quarantine: RequestQuarantine;
}

/** Why a connection to a control process has ended. */
export interface ControlConnectionEnd {
    /** Address of the leader's port for entries, if the control process sent it. */
    readonly leaderAddress: string | undefined;
    /** Whether the connection was closed because no message arrived before the timeout. */
    readonly timedOut: boolean;
}

/** A connection from an entry to a control process: receives the configuration and renews the permit. */
export class ControlConnection {
    private readonly socket: Socket;
    private readonly connection: MessageConnection;
    private readonly endController = new AbortController();
    private readonly requestSentAt = new Map<number, Milliseconds>();
    private readonly snapshotParts: Uint8Array[] = [];
    private nextRequestNumber = 1;
    private usageUnconfirmed = false;
    private understandsCrashReports = false;
    private leaderAddress: string | undefined;
    private timedOut = false;
    private lastReceivedAt: Milliseconds;

    constructor(
        address: string,
        private readonly context: ControlConnectionContext,
        private readonly stopSignal: AbortSignal,
    ) {
        this.socket = connect(splitAddress(address));
        this.connection = new MessageConnection(this.socket);
        this.lastReceivedAt = context.clock.now();
    }

    /** Runs until the connection ends, times out, is refused, is redirected or receives an invalid message. */
    async run(): Promise<ControlConnectionEnd> {
        const close = (): void => {
            this.socket.destroy();
        };
        this.stopSignal.addEventListener("abort", close, { once: true });
        this.sendHello();
        this.context.claims.attach(message => {
            this.send(message);
        });
        this.context.quarantine.onReportDue(() => {
            this.sendCrashReport();
        });
        const renewal = this.renewPermit();
        try {
            for await (const message of this.connection.messages()) {
                this.lastReceivedAt = this.context.clock.now();
                if (!this.receive(message)) {
                    break;
                }
            }
        }
        finally {
            this.endController.abort();
            this.context.claims.detach();
            this.context.quarantine.onReportDue(() => undefined);
            this.stopSignal.removeEventListener("abort", close);
            close();
        }
        await renewal;
        return { leaderAddress: this.leaderAddress, timedOut: this.timedOut };
    }

    private send(message: EntryToControl): void {
        this.connection.send(message);
    }

    private sendHello(): void {
        const version = this.context.configuration.current.version;
        this.send({ kind: "hello", protocol: entryProtocolVersion, ...this.context.identity(), version });
    }

    private async renewPermit(): Promise<void> {
        const { clock, configuration, status } = this.context;
        while (!this.endController.signal.aborted) {
            // Not the timeout of the socket, which restarts with each write.
            if (clock.now() - this.lastReceivedAt > responseTimeout) {
                this.timedOut = true;
                this.socket.destroy();
                return;
            }
            const now = clock.now();
            const number = this.nextRequestNumber++;
            this.requestSentAt.set(number, now);
            this.send({
                kind: "permitRequest",
                number,
                version: configuration.current.version,
                status: status(),
                pools: this.context.summarizePools(now),
                demands: this.context.collectDemands(now),
            });
            this.sendUsage();
            await clock.sleep(permitInterval, this.endController.signal);
        }
    }

    /** Sends the next usage records, unless the last ones are unconfirmed. */
    private sendUsage(): void {
        const delivery = this.usageUnconfirmed ? undefined : this.context.usage.nextDelivery();
        if (delivery !== undefined) {
            this.usageUnconfirmed = true;
            this.send({ kind: "usage", ...delivery });
        }
    }

    /**
     * Validates and handles a received message; a malformed one ends the connection.
     *
     * @returns Whether to keep the connection.
     */
    private receive(message: unknown): boolean {
        try {
            return controlToEntrySchema.safeParse(message).success
                ? this.handle(message as ControlToEntry)
                : this.rejectMalformed();
        }
        catch {
            // A change or snapshot cannot be decoded, or cannot be applied to the configuration of this entry.
            return this.rejectMalformed();
        }
    }

    private rejectMalformed(): false {
        const { remoteAddress } = this.connection;
        this.context.eventLog.write("connectionRejected", { address: remoteAddress, code: "frameMalformed" });
        return false;
    }

    /** @returns Whether to keep the connection. */
    private handle(message: ControlToEntry): boolean {
        return match(message)
            .with({ kind: "refused" }, () => false)
            .with({ kind: "redirect" }, ({ leaderAddress }) => {
                this.leaderAddress = leaderAddress;
                return false;
            })
            .with({ kind: "incarnationEnded" }, ({ incarnation }) => {
                this.context.renewIncarnation(incarnation);
                return false;
            })
            .with({ kind: "usageTaken" }, ({ incarnation, outcome }) => {
                this.context.usage.confirm(incarnation, outcome);
                this.usageUnconfirmed = false;
                return true;
            })
            .with({ kind: "snapshotPart" }, part => {
                this.addSnapshotPart(part.bytes, part.last);
                return true;
            })
            .with({ kind: "changes" }, ({ changes }) => {
                const applied = this.context.configuration.apply(changes);
                this.reportVersion();
                return applied;
            })
            .with({ kind: "drain" }, () => {
                this.context.onDrain();
                return true;
            })
            .with({ kind: "permit" }, permit => {
                this.applyPermit(permit);
                return true;
            })
            .with({ kind: "claimDecisions" }, ({ number, decisions }) => {
                this.context.claims.applyDecisions(number, decisions);
                return true;
            })
            .with({ kind: "claimResultsTaken" }, ({ number, taken }) => {
                this.context.claims.confirmResults(number, taken);
                return true;
            })
            .exhaustive();
    }

    private addSnapshotPart(bytes: Uint8Array, last: boolean): void {
        this.snapshotParts.push(bytes);
        if (last) {
            const encodedSnapshot = Buffer.concat(this.snapshotParts.splice(0));
            this.context.configuration.replace(decoder.decode(encodedSnapshot) as ConfigurationSnapshot);
            this.reportVersion();
        }
    }

    /** Reports the active version immediately, without waiting for the next regular permit request. */
    private reportVersion(): void {
        const number = this.nextRequestNumber++;
        this.requestSentAt.set(number, this.context.clock.now());
        const { configuration, status } = this.context;
        this.send({ kind: "permitRequest", number, version: configuration.current.version, status: status() });
    }

    /** Reports crashes immediately: identical requests may be on their way to other entries. */
    private sendCrashReport(): void {
        const { configuration, quarantine, status } = this.context;
        const crashReport = this.understandsCrashReports ? quarantine.takeReport() : undefined;
        if (crashReport === undefined || crashReport.crashes.length + crashReport.sound.length === 0) {
            return;
        }
        const number = this.nextRequestNumber++;
        const { version } = configuration.current;
        this.requestSentAt.set(number, this.context.clock.now());
        this.send({ kind: "permitRequest", number, version, status: status(), crashReport });
    }

    private applyPermit(permit: Extract<ControlToEntry, { kind: "permit"; }>): void {
        const sentAt = this.requestSentAt.get(permit.number);
        this.requestSentAt.delete(permit.number);
        if (sentAt !== undefined) {
            this.context.permit.grant(sentAt, permit.validMilliseconds, permit.version);
        }
        const now = this.context.clock.now();
        if (permit.pools !== undefined) {
            this.context.onPoolSums(permit.pools, now);
        }
        if (permit.limitParts !== undefined) {
            this.context.onLimitShares(permit.limitParts, now);
        }
        if (permit.entries !== undefined) {
            this.context.onListing(permit.entries);
        }
        if (permit.heldRequests !== undefined) {
            this.context.quarantine.applyHeld(permit.heldRequests, now);
            this.understandsCrashReports = true;
            this.sendCrashReport();
        }
    }
}
