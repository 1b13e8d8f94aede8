import type { Socket } from "node:net";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EndpointListSnapshot } from "../../process/hosted/control/endpointLists.js";
import type { EntryRegistry } from "../../process/hosted/control/entryRegistry.js";
import type { StoredDocument } from "../../process/hosted/control/hostedState.js";
import type { QuarantineDuty } from "../../process/hosted/control/quarantineDuty.js";
import type { RateLimitLedger } from "../../process/hosted/control/rateLimitLedger.js";
import type { RetryLedger } from "../../process/hosted/control/retryLedger.js";
import type { StreamOriginStore } from "../../process/hosted/streamOriginStore.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { MedianClock } from "../../util/medianClock.js";
import type { SuspensionDetector } from "../../util/suspensionDetector.js";
import { encodeFrame } from "../frameCodec.js";
import { defaultFirstFrameLimits, MessageConnection } from "../messageConnection.js";
import { entryMessageSchema, linkProtocolVersion } from "./linkMessages.js";
import type { ControlMessage, EntryHeartbeat, EntryHello, EntryMessage, ListState } from "./linkMessages.js";
import type { TrialRequest } from "./quarantineMessages.js";
import type { GrantRequest } from "./rateLimitMessages.js";
import type { RetryRequest } from "./retryMessages.js";
import type { StartedStreams, StreamOriginRequest } from "./streamMessages.js";

/** Maximum size of a frame from an entry, in bytes. */
const maximumEntryFrameBytes = 1024 * 1024;

/** Dependencies that all entry links of a control process share. */
export interface EntryLinkContext {
    readonly clock: Clock;
    /** Its time is that of {@link EndpointListSnapshot.polledAt}. */
    readonly suspensionDetector: SuspensionDetector;
    readonly eventLog: EventLog;
    readonly medianClock: MedianClock;
    readonly registry: EntryRegistry;
    readonly document: () => StoredDocument | undefined;
    /** The newest list of endpoints, whichever control process has read it. */
    readonly endpoints: () => EndpointListSnapshot | undefined;
    /** The newest list of endpoints that this process has read itself. */
    readonly ownEndpoints: () => EndpointListSnapshot | undefined;
    /** Asks a quorum for the newest configuration version; undefined if no quorum responds. */
    readonly confirmVersion: () => Promise<number | undefined>;
    readonly isLeader: () => boolean;
    readonly controlHosts: () => readonly string[];
    readonly leaderHost: () => string | undefined;
    readonly rateLimits: RateLimitLedger;
    readonly retries: RetryLedger;
    /** Term in which this process leads, holds its lease, and may thus grant calls; undefined otherwise. */
    readonly grantingTerm: () => number | undefined;
    readonly quarantine: QuarantineDuty;
    /** Increases with each change of the calls that are held back. */
    readonly holdsRevision: () => number;
    /** Origins of the streams that entries reported. */
    readonly streamOrigins: StreamOriginStore;
}

/** Server side of a link: a connection from an entry, or from another control process that observes the entries. */
export class EntryLink {
    private readonly connection: MessageConnection;
    private hello: EntryHello | undefined;
    private sentVersion = 0;
    private sentHoldsRevision: number | undefined;
    private sentEndpointsRevision: number | undefined;
    /** Undefined if the entry may know the list of another leader. */
    private sentSuspectsVersion: number | undefined;
    private isObserver = false;
    /** Whether the other side is an observing control process that understands lists of endpoints. */
    private observesEndpoints = false;

    constructor(socket: Socket, private readonly context: EntryLinkContext) {
        this.connection = new MessageConnection(socket, maximumEntryFrameBytes, defaultFirstFrameLimits);
    }

    /** Handles messages until the connection is closed. */
    async run(): Promise<void> {
        for await (const received of this.connection.messages()) {
            const message = entryMessageSchema.safeParse(received);
            if (!message.success || !this.handleMessage(message.data)) {
                this.logRejection("frameMalformed");
                break;
            }
        }
        if (this.connection.failure !== undefined) {
            this.logRejection(this.connection.failure.code);
        }
        this.connection[Symbol.dispose]();
        if (this.hello !== undefined) {
            this.context.registry.disconnect(this.hello);
            const { entry, incarnation } = this.hello;
            this.context.eventLog.write("entryLinkEnded", { entry, incarnation });
        }
    }

    /** Sends the configuration if the entry has an older version. */
    pushDocument(): void {
        const document = this.context.document();
        if (this.hello !== undefined && document !== undefined && document.version > this.sentVersion) {
            this.sentVersion = document.version;
            this.send({ kind: "configuration", ...document });
        }
    }

    /** Sends an entry the newest list of endpoints, or only its changes if the entry has the list before. */
    pushEndpoints(): void {
        if (this.hello !== undefined) {
            this.sendEndpoints(this.context.endpoints(), this.hello.understandsEndpointChanges === true);
        }
    }

    /** Sends another control process the list of endpoints that this one has read itself, or only its changes. */
    pushOwnEndpoints(): void {
        if (this.observesEndpoints) {
            this.sendEndpoints(this.context.ownEndpoints(), true);
        }
    }

    private sendEndpoints(snapshot: EndpointListSnapshot | undefined, understandsChanges: boolean): void {
        if (snapshot === undefined || snapshot.revision === this.sentEndpointsRevision) {
            return;
        }
        const { endpoints, revision, changes } = snapshot;
        const state = this.listStateOf(snapshot);
        this.send(
            understandsChanges && this.sentEndpointsRevision === revision - 1
                ? { kind: "endpointChanges", ...state, ...changes }
                : { kind: "endpoints", ...state, endpoints },
        );
        this.sentEndpointsRevision = revision;
    }

    /** Sends which calls are held back, unless the entry has been told. */
    pushHolds(): void {
        const revision = this.context.holdsRevision();
        if (this.hello?.understandsHolds === true && revision !== this.sentHoldsRevision) {
            this.sentHoldsRevision = revision;
            this.send({ kind: "holds", revision, holds: this.context.quarantine.heldFeatures() });
        }
    }

    /** Sends the suspects if this process leads, unless the entry has been told. */
    pushSuspects(): void {
        if (!this.context.isLeader()) {
            // The list of another leader replaces this one at the entry.
            this.sentSuspectsVersion = undefined;
            return;
        }
        const { suspectsVersion } = this.context.quarantine;
        if (this.hello?.understandsHolds === true && suspectsVersion !== this.sentSuspectsVersion) {
            this.sentSuspectsVersion = suspectsVersion;
            this.send({ kind: "suspects", suspects: this.context.quarantine.suspects() });
        }
    }

    /**
     * Sends the entries that are linked to this control process, if the other side is an observing control process.
     *
     * @param frame The message, which is the same for all observers; see {@link encodePresence}.
     */
    pushPresence(frame: Buffer): void {
        if (this.isObserver) {
            this.connection.sendFrame(frame);
        }
    }

    close(): void {
        this.connection[Symbol.dispose]();
    }

    /** @returns Whether the message is allowed in the current state of the link. */
    private handleMessage(message: EntryMessage): boolean {
        switch (message.kind) {
            case "hello":
                return this.handleHello(message);
            case "observe":
                return this.handleObserver(message);
            case "grantRequest":
                if (this.hello === undefined) {
                    return false;
                }
                this.respondToGrantRequest(message, this.hello);
                return true;
            case "retryRequest":
                if (this.hello === undefined) {
                    return false;
                }
                this.respondToRetryRequest(message, this.hello);
                return true;
            case "evidence":
                if (this.hello === undefined) {
                    return false;
                }
                this.context.quarantine.recordEvidence(message);
                return true;
            case "streamsStarted":
                if (this.hello === undefined) {
                    return false;
                }
                this.recordStreams(message.streams);
                return true;
            case "streamOriginRequest":
                if (this.hello === undefined) {
                    return false;
                }
                this.respondToStreamOriginRequest(message);
                return true;
            case "trialRequest":
                if (this.hello === undefined) {
                    return false;
                }
                void this.respondToTrialRequest(message);
                return true;
            case "beat":
                if (this.hello === undefined) {
                    return false;
                }
                void this.respondToHeartbeat(message, this.hello);
                return true;
        }
    }

    private handleObserver({ protocol, number }: Extract<EntryMessage, { kind: "observe"; }>): boolean {
        if (this.hello !== undefined || protocol !== linkProtocolVersion) {
            return false;
        }
        if (!this.isObserver) {
            this.isObserver = true;
            this.pushPresence(encodePresence(this.context.registry, this.context.clock.now()));
        }
        if (number !== undefined) {
            this.observesEndpoints = true;
            this.pushOwnEndpoints();
            const snapshot = this.context.ownEndpoints();
            const state = snapshot === undefined ? {} : { endpointList: this.listStateOf(snapshot) };
            this.send({ kind: "listState", number, ...state });
        }
        return true;
    }

    private handleHello(hello: EntryHello): boolean {
        if (this.hello !== undefined || hello.protocol !== linkProtocolVersion) {
            return false;
        }
        this.hello = hello;
        this.sentVersion = hello.version;
        const { entry, incarnation, version } = hello;
        this.context.eventLog.write("entryLinkBegan", { entry, incarnation, version });
        this.pushDocument();
        this.pushHolds();
        this.pushEndpoints();
        return true;
    }

    private respondToGrantRequest(request: GrantRequest, { entry }: EntryHello): void {
        const { clock, rateLimits, grantingTerm } = this.context;
        const { number, endpoint, maximumDelay, statement } = request;
        const now = clock.now();
        if (statement !== undefined) {
            rateLimits.recordStatement(entry, statement, now);
        }
        const isDecided = grantingTerm() !== undefined;
        const decision = isDecided
            ? rateLimits.requestGrant(entry, endpoint, maximumDelay, now)
            : { isGranted: false, delay: 0, contenders: 0 };
        this.send({ kind: "grant", number, isDecided, ...decision });
    }

    private respondToRetryRequest({ number, service }: RetryRequest, { entry, incarnation }: EntryHello): void {
        const { clock, retries, grantingTerm } = this.context;
        const now = clock.now();
        retries.recordTerm(grantingTerm(), now);
        const isDecided = retries.isSettled(now);
        const decision = isDecided
            ? retries.request(`${entry}/${incarnation}`, service, now)
            : { isGranted: false, delay: 0 };
        this.send({ kind: "retry", number, isDecided, ...decision });
    }

    private recordStreams(streams: readonly StartedStreams[]): void {
        const now = this.context.clock.now();
        for (const { team = "", origin, lifetime, callIds } of streams) {
            for (const callId of callIds) {
                this.context.streamOrigins.record(team, callId, {
                    service: origin.service,
                    softwareVersion: origin.softwareVersion,
                }, now + lifetime);
            }
        }
    }

    private respondToStreamOriginRequest({ number, team = "", callId }: StreamOriginRequest): void {
        const { clock, streamOrigins } = this.context;
        const origin = streamOrigins.find(team, callId, clock.now());
        this.send({ kind: "streamOrigin", number, ...origin === undefined ? {} : { origin } });
    }

    private async respondToTrialRequest({ number, service, feature, features }: TrialRequest): Promise<void> {
        const { grantingTerm, quarantine } = this.context;
        const isGranted = grantingTerm() !== undefined && await quarantine.requestTrial(service, feature, features);
        this.send({ kind: "trial", number, isGranted });
    }

    private async respondToHeartbeat(heartbeat: EntryHeartbeat, hello: EntryHello): Promise<void> {
        const { clock, medianClock, registry, confirmVersion, rateLimits, retries, grantingTerm } = this.context;
        const now = clock.now();
        registry.recordHeartbeat(hello, heartbeat, now);
        heartbeat.limits?.forEach(statement => {
            rateLimits.recordStatement(hello.entry, statement, now);
        });
        retries.recordTerm(grantingTerm(), now);
        retries.recordReport(`${hello.entry}/${hello.incarnation}`, heartbeat.retries ?? {}, now);
        medianClock.addReading(hello.entry, heartbeat.unixTime, now);
        const leaderHost = this.context.leaderHost();
        const confirmedVersion = heartbeat.wantsPermit ? await confirmVersion() : undefined;
        const isLeader = this.context.isLeader();
        const endpointList = this.context.endpoints();
        this.pushDocument();
        this.pushHolds();
        this.pushSuspects();
        this.send({
            kind: "beatAnswer",
            number: heartbeat.number,
            unixTime: clock.unixNow(),
            ...confirmedVersion === undefined ? {} : { confirmedVersion },
            isLeader,
            controlHosts: this.context.controlHosts(),
            ...leaderHost === undefined ? {} : { leaderHost },
            entryCount: registry.count(clock.now()),
            work: registry.work(clock.now()),
            limits: isLeader ? rateLimits.enforcedLimits(clock.now()) : [],
            keepsStreamOrigins: true,
            grantsRetries: true,
            ...endpointList === undefined ? {} : { endpointList: this.listStateOf(endpointList) },
            ...heartbeat.needsRelays === true ? { relays: registry.relaysFor(hello.entry, clock.now()) } : {},
        });
    }

    private listStateOf({ revision, polledAt, uncertainty }: EndpointListSnapshot): ListState {
        return { revision, age: this.context.suspensionDetector.now() - polledAt, uncertainty };
    }

    private send(message: ControlMessage): void {
        this.connection.send(message);
    }

    private logRejection(code: string): void {
        this.context.eventLog.write("connectionRejected", { address: this.connection.remoteAddress, code });
    }
}

/** Encodes which entries are linked to this control process, for all its observers. */
export function encodePresence(registry: EntryRegistry, now: Milliseconds): Buffer {
    return encodeFrame({ kind: "presence", entries: registry.linkedEntries(now) } satisfies ControlMessage);
}
