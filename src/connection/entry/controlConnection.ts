import { Decoder } from "cbor-x";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { OwnerDemand, OwnerShare } from "../../process/control/limitAllocator.js";
import type { PoolSummaryRow } from "../../process/control/poolSummaryAggregator.js";
import type { EntryConfiguration } from "../../process/entry/entryConfiguration.js";
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

/** How often an entry asks for a new permit, in milliseconds. */
const permitInterval: Milliseconds = summaryInterval;

/** Longest wait for a connection or for an answer, in milliseconds. */
const answerTimeout: Milliseconds = 1000;

const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Who an entry is, as it tells control processes. */
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

/** What a connection to a control process works on. */
export interface ControlConnectionContext {
    /** The identity at present; its incarnation changes when control has declared the last one over. */
    readonly identity: () => EntryIdentity;
    /** Begins a new incarnation if the given one is the present one. */
    readonly renewIncarnation: (ended: string) => void;
    readonly usage: UsageRecorder;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly configuration: EntryConfiguration;
    readonly permit: ServingPermit;
    readonly status: () => EntryStatus;
    /** Called when an operator asked this entry to stop gracefully. */
    readonly onDrain: () => void;
    /** What other entries and control should know of this one's pools and limits; called once for each message. */
    readonly takePoolRows: (now: Milliseconds) => readonly PoolSummaryRow[];
    readonly takeDemands: (now: Milliseconds) => readonly OwnerDemand[];
    readonly onPoolSums: (sums: readonly PoolSummaryRow[], now: Milliseconds) => void;
    readonly onLimitParts: (parts: readonly OwnerShare[], now: Milliseconds) => void;
    readonly onListing: (entries: readonly EntryListing[]) => void;
    readonly claims: ControlClaimStore;
}

/** Why a connection to a control process has ended. */
export interface ControlConnectionEnd {
    /** Address of the leader's port for entries, when the other side named it. */
    readonly leaderAddress: string | undefined;
    /** Whether the other side stayed silent for too long. */
    readonly silent: boolean;
}

/** One connection of an entry to a control process: follows the configuration and renews the permit. */
export class ControlConnection {
    private readonly socket: Socket;
    private readonly connection: MessageConnection;
    private readonly ended = new AbortController();
    private readonly sentAt = new Map<number, Milliseconds>();
    private readonly parts: Uint8Array[] = [];
    private nextNumber = 1;
    private awaitingUsage = false;
    private leaderAddress: string | undefined;
    private silent = false;
    private heardAt: Milliseconds;

    constructor(
        address: string,
        private readonly context: ControlConnectionContext,
        private readonly stop: AbortSignal,
    ) {
        this.socket = connect(splitAddress(address));
        this.connection = new MessageConnection(this.socket);
        this.heardAt = context.clock.now();
    }

    /** Serves the connection until it ends, stays silent for too long, or names another leader. */
    async run(): Promise<ControlConnectionEnd> {
        const close = (): void => {
            this.socket.destroy();
        };
        this.stop.addEventListener("abort", close, { once: true });
        this.greet();
        this.context.claims.attach(message => {
            this.send(message);
        });
        const renewing = this.renew();
        try {
            for await (const message of this.connection.messages()) {
                this.heardAt = this.context.clock.now();
                if (!this.take(message)) {
                    break;
                }
            }
        }
        finally {
            this.ended.abort();
            this.context.claims.detach();
            this.stop.removeEventListener("abort", close);
            close();
        }
        await renewing;
        return { leaderAddress: this.leaderAddress, silent: this.silent };
    }

    private send(message: EntryToControl): void {
        this.connection.send(message);
    }

    private greet(): void {
        const version = this.context.configuration.current.version;
        this.send({ kind: "hello", protocol: entryProtocolVersion, ...this.context.identity(), version });
    }

    private async renew(): Promise<void> {
        const { clock, configuration, status } = this.context;
        while (!this.ended.signal.aborted) {
            // The socket's own timeout would not do: each request that is written starts it anew.
            if (clock.now() - this.heardAt > answerTimeout) {
                this.silent = true;
                this.socket.destroy();
                return;
            }
            const now = clock.now();
            const number = this.nextNumber++;
            this.sentAt.set(number, now);
            this.send({
                kind: "permitRequest",
                number,
                version: configuration.current.version,
                status: status(),
                pools: this.context.takePoolRows(now),
                demands: this.context.takeDemands(now),
            });
            this.deliverUsage();
            await clock.sleep(permitInterval, this.ended.signal);
        }
    }

    /** Sends usage records, one message at a time. */
    private deliverUsage(): void {
        const delivery = this.awaitingUsage ? undefined : this.context.usage.nextDelivery();
        if (delivery !== undefined) {
            this.awaitingUsage = true;
            this.send({ kind: "usage", ...delivery });
        }
    }

    /**
     * Handles a message as it came from the network; one that is malformed ends the connection.
     *
     * @returns Whether the connection is still of use.
     */
    private take(message: unknown): boolean {
        try {
            return controlToEntrySchema.safeParse(message).success
                ? this.handle(message as ControlToEntry)
                : this.rejectMalformed();
        }
        catch {
            // The content of a change or snapshot does not fit what this entry holds.
            return this.rejectMalformed();
        }
    }

    private rejectMalformed(): false {
        const { remoteAddress } = this.connection;
        this.context.eventLog.write("connectionRejected", { address: remoteAddress, code: "frameMalformed" });
        return false;
    }

    /** @returns Whether the connection is still of use. */
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
                this.awaitingUsage = false;
                return true;
            })
            .with({ kind: "snapshotPart" }, part => {
                this.takePart(part.bytes, part.last);
                return true;
            })
            .with({ kind: "changes" }, ({ changes }) => {
                const followed = this.context.configuration.apply(changes);
                this.reportVersion();
                return followed;
            })
            .with({ kind: "drain" }, () => {
                this.context.onDrain();
                return true;
            })
            .with({ kind: "permit" }, permit => {
                this.takePermit(permit);
                return true;
            })
            .with({ kind: "claimDecisions" }, ({ number, decisions }) => {
                this.context.claims.takeDecisions(number, decisions);
                return true;
            })
            .with({ kind: "claimResultsTaken" }, ({ number, taken }) => {
                this.context.claims.takeResultsTaken(number, taken);
                return true;
            })
            .exhaustive();
    }

    private takePart(bytes: Uint8Array, last: boolean): void {
        this.parts.push(bytes);
        if (last) {
            const whole = Buffer.concat(this.parts.splice(0));
            this.context.configuration.replace(decoder.decode(whole) as ConfigurationSnapshot);
            this.reportVersion();
        }
    }

    /** Tells the control process at once that a version is in force, ahead of the next regular request. */
    private reportVersion(): void {
        const number = this.nextNumber++;
        this.sentAt.set(number, this.context.clock.now());
        const { configuration, status } = this.context;
        this.send({ kind: "permitRequest", number, version: configuration.current.version, status: status() });
    }

    private takePermit(permit: Extract<ControlToEntry, { kind: "permit"; }>): void {
        const sentAt = this.sentAt.get(permit.number);
        this.sentAt.delete(permit.number);
        if (sentAt !== undefined) {
            this.context.permit.grant(sentAt, permit.validMilliseconds, permit.version);
        }
        const now = this.context.clock.now();
        if (permit.pools !== undefined) {
            this.context.onPoolSums(permit.pools, now);
        }
        if (permit.limitParts !== undefined) {
            this.context.onLimitParts(permit.limitParts, now);
        }
        if (permit.entries !== undefined) {
            this.context.onListing(permit.entries);
        }
    }
}
