import { connect } from "node:net";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EndpointRecord } from "../../process/hosted/endpointRecord.js";
import type { CallQuarantine } from "../../process/hosted/entry/callQuarantine.js";
import type { DeploymentView } from "../../process/hosted/entry/deploymentView.js";
import type { EndpointRateLimits } from "../../process/hosted/entry/endpointRateLimits.js";
import type { HostedRetryBudget } from "../../process/hosted/entry/hostedRetryBudget.js";
import type { ListReading } from "../../process/hosted/entry/listReading.js";
import type { StreamOrigins } from "../../process/hosted/entry/streamOrigins.js";
import type { UsageCounts } from "../../process/hosted/entry/usageCounts.js";
import type { GrantDecision } from "../../process/hosted/grantDecision.js";
import type { RetryGrant } from "../../process/hosted/retryPolicy.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { MedianClock } from "../../util/medianClock.js";
import { splitAddress } from "../../util/socketAddress.js";
import type { SuspensionDetector } from "../../util/suspensionDetector.js";
import { MessageConnection } from "../messageConnection.js";
import { controlMessageSchema, linkProtocolVersion } from "./linkMessages.js";
import type {
    ControlMessage,
    EntryHeartbeat,
    EntryMessage,
    HeartbeatResponse,
    ListState,
    RelayOffer,
    ServiceWork,
    StreamOriginResponse,
} from "./linkMessages.js";
import type { ReopenableLink } from "./linkSet.js";
import { PendingResponses } from "./pendingResponses.js";
import type { LimitStatement } from "./rateLimitMessages.js";
import { ReceivedEndpoints } from "./receivedEndpoints.js";

/**
 * Time without a message after which a link is reopened: in a network partition the connection may never fail by
 * itself.
 */
const silenceTimeout: Milliseconds = 1_500;

/** The same time as a multiple of the heartbeat interval; the longer one applies. */
const silenceTimeoutInHeartbeats = 3;

/** Maximum factor of that time, for links to a control process that has left several of them without a response. */
const maximumPatience = 4;

/** Time within which the leader must respond to a request for a grant; several times the round-trip time. */
const grantTimeout: Milliseconds = 150;

/** Time within which the leader must respond to a request for a trial, which it stores in the log before. */
const trialTimeout: Milliseconds = 600;

/** Time within which a control process must respond to a request for the origin of a stream. */
const streamOriginTimeout: Milliseconds = 150;

/** Dependencies and callbacks that all control links of an entry share. */
export interface ControlLinkContext {
    readonly entry: string;
    /** Unique identifier of this run of the entry's process. */
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly clock: Clock;
    readonly suspensionDetector: SuspensionDetector;
    readonly medianClock: MedianClock;
    readonly eventLog: EventLog;
    readonly view: DeploymentView;
    readonly usageCounts: UsageCounts;
    readonly isReady: () => boolean;
    /** Engine time used by this entry's calls, by service, in milliseconds per second. */
    readonly ownWork: (now: Milliseconds) => ServiceWork;
    /** Called with the engine time used by the calls of all entries. */
    readonly onTotalWork: (work: ServiceWork) => void;
    /** Called with each list, and again when it is known to be still current. */
    readonly onEndpoints: (endpoints: readonly EndpointRecord[], reading: ListReading) => void;
    /** Called with the hosts of the control processes, and with the leader's host if one is known. */
    readonly onControlHosts: (hosts: readonly string[], leaderHost: string | undefined) => void;
    readonly onEntryCount: (entries: number) => void;
    readonly rateLimits: EndpointRateLimits;
    readonly retryBudget: HostedRetryBudget;
    readonly quarantine: CallQuarantine;
    readonly streamOrigins: StreamOrigins;
    /** Whether this entry relays calls, or needs others to relay its own. */
    readonly relayState: () => Pick<EntryHeartbeat, "relay" | "needsRelays">;
    /** Called with the entries that relay calls. */
    readonly onRelays: (relays: readonly RelayOffer[]) => void;
}

let createdLinks = 0;

/** Connection of this entry to one control process. */
export class ControlLink implements ReopenableLink {
    private readonly number = ++createdLinks;
    private readonly socket: Socket;
    private readonly connection: MessageConnection;
    /** When the heartbeats without a response so far were sent, by heartbeat number. */
    private readonly unansweredSentAt = new Map<number, Milliseconds>();
    private nextHeartbeatNumber = 1;
    private sentCountsVersion = 0;
    private sentLimitsVersion = 0;
    private readonly pendingGrants = new PendingResponses<GrantDecision>(grantTimeout);
    private canGrant = false;
    private readonly pendingRetries = new PendingResponses<RetryGrant>(grantTimeout);
    private grantsRetries = false;
    private readonly pendingTrials = new PendingResponses<boolean>(trialTimeout);
    private readonly pendingStreamRequests = new PendingResponses<StreamOriginResponse>(streamOriginTimeout);
    private keepsStreamOrigins = false;
    private sentStream = 0;
    private understandsEvidence = false;
    private sentEvidenceVersion = 0;
    private readonly receivedEndpoints = new ReceivedEndpoints();
    private lastReceivedAt: Milliseconds;
    /** What is received from now on was sent at this time or later, by the suspension detector's time. */
    private sentAfter: Milliseconds;
    private hasSentHello = false;
    private isAnswered = false;
    private isRemoteLeader = false;
    private closeReason = "the control process closed the connection";

    /** @param failures Number of links to the address that ended without a response, in succession. */
    constructor(
        readonly address: string,
        private readonly failures: number,
        private readonly context: ControlLinkContext,
    ) {
        this.socket = connect(splitAddress(address), () => {
            this.sendHello();
        });
        this.connection = new MessageConnection(this.socket);
        this.lastReceivedAt = context.clock.now();
        this.sentAfter = context.suspensionDetector.now();
    }

    /** Whether the control process has responded and the connection is open. */
    get isUp(): boolean {
        return this.isAnswered && !this.connection.closed;
    }

    get hasResponded(): boolean {
        return this.isAnswered;
    }

    /** Whether the link is up and its control process is the leader. */
    get isLeader(): boolean {
        return this.isUp && this.isRemoteLeader;
    }

    /** Handles messages until the connection is closed. */
    async run(): Promise<void> {
        for await (const received of this.connection.messages()) {
            const message = controlMessageSchema.safeParse(received);
            if (!message.success) {
                this.closeReason = "received a malformed message";
                break;
            }
            this.lastReceivedAt = this.context.clock.now();
            this.handleMessage(message.data);
        }
        this.connection[Symbol.dispose]();
        this.pendingGrants.abandon();
        this.pendingRetries.abandon();
        this.pendingTrials.abandon();
        this.pendingStreamRequests.abandon();
        if (this.hasSentHello) {
            this.context.eventLog.write("controlLinkEnded", { address: this.address, reason: this.closeReason });
        }
    }

    /**
     * Sends a heartbeat with the state of this entry; closes the link if nothing was received for too long.
     *
     * @param wantsPermit Whether the control process shall confirm the configuration version with a quorum.
     * @param interval Current interval between heartbeats.
     */
    sendHeartbeat(wantsPermit: boolean, interval: Milliseconds, now: Milliseconds): void {
        const timeout = Math.max(silenceTimeout, interval * silenceTimeoutInHeartbeats);
        if (now - this.lastReceivedAt > timeout * this.patience) {
            this.close("no message received within the timeout");
            return;
        }
        if (!this.hasSentHello) {
            return;
        }
        const { clock, suspensionDetector, view, usageCounts, isReady } = this.context;
        const number = this.nextHeartbeatNumber++;
        this.unansweredSentAt.set(number, suspensionDetector.now());
        const usage = usageCounts.totalsSince(this.sentCountsVersion);
        const hasNewCounts = usageCounts.version !== this.sentCountsVersion;
        this.sentCountsVersion = usageCounts.version;
        const limits = this.context.rateLimits.statementsSince(this.sentLimitsVersion, now);
        this.sentLimitsVersion = this.context.rateLimits.version;
        const retries = this.context.retryBudget.report(now);
        this.send({
            kind: "beat",
            number,
            unixTime: clock.unixNow(),
            version: view.version,
            isReady: isReady(),
            interval,
            wantsPermit,
            work: this.context.ownWork(now),
            ...this.context.relayState(),
            ...hasNewCounts ? { usage } : {},
            ...limits.length > 0 ? { limits } : {},
            ...Object.keys(retries).length > 0 ? { retries } : {},
        });
    }

    /** Asks the control process for one call to an endpoint; undefined if it does not decide in time. */
    async requestGrant(
        endpoint: string,
        maximumDelay: Milliseconds,
        statement: LimitStatement | undefined,
    ): Promise<GrantDecision | undefined> {
        if (!this.canGrant || this.connection.closed) {
            return undefined;
        }
        return this.pendingGrants.request(number => {
            this.send({
                kind: "grantRequest",
                number,
                endpoint,
                maximumDelay,
                ...statement === undefined ? {} : { statement },
            });
        });
    }

    /** Asks the control process for one retry of a service's calls; undefined if it does not decide in time. */
    async requestRetry(service: string): Promise<RetryGrant | undefined> {
        if (!this.grantsRetries || this.connection.closed) {
            return undefined;
        }
        return this.pendingRetries.request(number => {
            this.send({ kind: "retryRequest", number, service });
        });
    }

    /** Asks the control process whether a call that is held back may be let through; false if it does not decide in time. */
    async requestTrial(service: string, feature: string, features: readonly string[]): Promise<boolean> {
        if (!this.understandsEvidence || this.connection.closed) {
            return false;
        }
        const isGranted = await this.pendingTrials.request(number => {
            this.send({ kind: "trialRequest", number, service, feature, features });
        });
        return isGranted ?? false;
    }

    /** Asks the control process for the origin of a stream; undefined if it does not respond in time. */
    async requestStreamOrigin(team: string | undefined, callId: string): Promise<StreamOriginResponse | undefined> {
        if (!this.keepsStreamOrigins || this.connection.closed) {
            return undefined;
        }
        return this.pendingStreamRequests.request(number => {
            this.send({ kind: "streamOriginRequest", number, ...team === undefined ? {} : { team }, callId });
        });
    }

    /** Sends the streams that began at this entry since the previous message, if the control process keeps them. */
    sendStartedStreams(now: Milliseconds): void {
        const { streamOrigins } = this.context;
        if (!this.keepsStreamOrigins || this.connection.closed || this.sentStream === streamOrigins.newestStream) {
            return;
        }
        const streams = streamOrigins.startedSince(this.sentStream, now);
        this.sentStream = streamOrigins.newestStream;
        if (streams.length > 0) {
            this.send({ kind: "streamsStarted", streams });
        }
    }

    /** Sends what this entry learnt about crashes since the previous message, if the control process understands it. */
    sendEvidence(now: Milliseconds): void {
        const { quarantine } = this.context;
        const evidence = this.understandsEvidence && !this.connection.closed
            ? quarantine.evidenceSince(this.sentEvidenceVersion, now)
            : undefined;
        if (evidence !== undefined) {
            this.sentEvidenceVersion = quarantine.version;
            this.send(evidence);
        }
    }

    /** Closes the connection; the reason is logged. */
    close(reason: string): void {
        this.closeReason = reason;
        this.connection[Symbol.dispose]();
    }

    /**
     * Factor of the time without a message after which the link is given up.
     *
     * A control process that accepts connections but does not respond in time may be overloaded; to give the link up
     * early would only make it start over.
     */
    private get patience(): number {
        return this.hasSentHello && !this.isAnswered ? Math.min(2 ** this.failures, maximumPatience) : 1;
    }

    private sendHello(): void {
        const { entry, incarnation, failureDomain, callerAddress, view, eventLog } = this.context;
        this.hasSentHello = true;
        this.send({
            kind: "hello",
            protocol: linkProtocolVersion,
            entry,
            incarnation,
            failureDomain,
            callerAddress,
            version: view.version,
            understandsHolds: true,
            understandsEndpointChanges: true,
        });
        eventLog.write("controlLinkBegan", { address: this.address });
        this.sendHeartbeat(true, 0, this.context.clock.now());
    }

    private send(message: EntryMessage): void {
        this.connection.send(message);
    }

    private handleMessage(message: ControlMessage): void {
        match(message)
            .with({ kind: "configuration" }, ({ version, body }) => {
                this.context.view.applyConfiguration(version, body);
            })
            .with({ kind: "endpoints" }, { kind: "endpointChanges" }, endpoints => {
                if (!this.receivedEndpoints.apply(endpoints)) {
                    this.close("missed a change of the list of endpoints");
                    return;
                }
                this.reportEndpoints(endpoints);
            })
            .with({ kind: "beatAnswer" }, response => {
                this.handleHeartbeatResponse(response);
            })
            .with({ kind: "grant" }, ({ number, isDecided, ...grant }) => {
                this.pendingGrants.resolve(number, isDecided ? grant : undefined);
            })
            .with({ kind: "retry" }, ({ number, isDecided, isGranted, delay }) => {
                this.pendingRetries.resolve(number, isDecided ? { isGranted, delay } : undefined);
            })
            .with({ kind: "holds" }, ({ revision, holds }) => {
                const now = this.context.clock.now();
                this.context.quarantine.applyHolds(revision, holds, now);
                this.understandsEvidence = true;
                this.sendEvidence(now);
            })
            .with({ kind: "suspects" }, ({ suspects }) => {
                this.context.quarantine.applySuspects(suspects, this.context.clock.now());
            })
            .with({ kind: "trial" }, ({ number, isGranted }) => {
                this.pendingTrials.resolve(number, isGranted);
            })
            .with({ kind: "streamOrigin" }, response => {
                this.pendingStreamRequests.resolve(response.number, response);
            })
            .with({ kind: "presence" }, { kind: "listState" }, () => {
                this.close("received a message that only control processes may receive");
            })
            .exhaustive();
    }

    /** @param state State of the received list when the newest message was sent. */
    private reportEndpoints({ age, uncertainty = 0 }: Pick<ListState, "age" | "uncertainty">): void {
        this.context.onEndpoints(this.receivedEndpoints.records, {
            control: this.address,
            link: this.number,
            revision: this.receivedEndpoints.revision,
            age,
            earliest: this.sentAfter - age,
            latest: this.context.suspensionDetector.now() - age + uncertainty,
        });
    }

    private handleHeartbeatResponse(response: HeartbeatResponse): void {
        const { clock, medianClock, view, onControlHosts, onEntryCount } = this.context;
        const sentAt = this.unansweredSentAt.get(response.number);
        this.unansweredSentAt.delete(response.number);
        this.isAnswered = true;
        this.isRemoteLeader = response.isLeader;
        this.sentAfter = Math.max(this.sentAfter, sentAt ?? -Infinity);
        const { endpointList } = response;
        if (endpointList !== undefined && endpointList.revision === this.receivedEndpoints.revision) {
            this.reportEndpoints(endpointList);
        }
        medianClock.addReading(this.address, response.unixTime, clock.now());
        if (response.confirmedVersion !== undefined && sentAt !== undefined) {
            view.recordConfirmation(sentAt, response.confirmedVersion);
        }
        onControlHosts(response.controlHosts, response.leaderHost);
        onEntryCount(response.entryCount);
        // Only the leader's totals are used, so that all entries partition the engines by the same figures.
        if (response.isLeader) {
            this.context.onTotalWork(response.work);
        }
        if (response.relays !== undefined) {
            this.context.onRelays(response.relays);
        }
        this.keepsStreamOrigins = response.keepsStreamOrigins === true;
        this.sendStartedStreams(clock.now());
        this.canGrant = response.limits !== undefined;
        this.grantsRetries = response.grantsRetries === true;
        if (response.isLeader && response.limits !== undefined) {
            this.context.rateLimits.applyEnforcedLimits(response.limits, this.address, clock.now());
        }
    }
}
