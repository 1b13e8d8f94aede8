import type { PeerResponse } from "../../connection/peerMessage.js";
import type { PeerNetwork } from "../../connection/peerNetwork.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import type { LeaderLease } from "./leaderLease.js";
import type { LogSnapshot } from "./logSnapshot.js";
import type { Member } from "./membership.js";
import { encodeValue } from "./recordCodec.js";
import type { Replica } from "./replica.js";

/** Maximum bytes of entries in one append request, unless a single entry is larger. */
const maximumAppendBytes = 256 * 1024;

/** Maximum bytes of a snapshot in one chunk. */
const snapshotChunkBytes = 256 * 1024;

/** Number of heartbeats after which unchanged acknowledged positions are sent again. */
const heartbeatsPerPositionResend = 10;

/** Dependencies shared by all follower links of one leadership. */
export interface FollowerLinkOptions {
    readonly replica: Replica;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly lease: LeaderLease;
    readonly term: number;
    /** Woken when entries are appended, become durable or are committed. */
    readonly logChanged: ConditionVariable;
    /** Called when the member has responded, and again after it accepts entries or installs a snapshot. */
    readonly onResponse: () => void;
    /** The durable positions that the leader knows, by member identity. */
    readonly acknowledged: () => Readonly<Record<string, number>>;
}

/** Replicates the log to one other member: one task sends entries and snapshots, another one sends heartbeats. */
export class FollowerLink {
    private nextPosition: number;
    private matchedUpTo = 0;
    private sentCommitPosition = 0;
    private readonly heartbeatRequested = new ConditionVariable();
    private heartbeatRequestedAt: Milliseconds = -Infinity;
    private readonly ended = new AbortController();

    constructor(private readonly options: FollowerLinkOptions, private readonly member: Member) {
        this.nextPosition = options.replica.log.lastPosition + 1;
    }

    /** Position up to which the member's log is durable and matches the leader's. */
    get matchPosition(): number {
        return this.matchedUpTo;
    }

    /** Runs both tasks until {@link end}. */
    async run(): Promise<void> {
        await Promise.all([this.sendLog(), this.sendHeartbeats()]);
    }

    /** Stops both tasks. */
    end(): void {
        this.ended.abort();
    }

    /** Requests a heartbeat that is sent after `now`, without waiting for the heartbeat interval. */
    requestHeartbeat(now: Milliseconds): void {
        this.heartbeatRequestedAt = now;
        this.heartbeatRequested.notifyAll();
    }

    private get isEnded(): boolean {
        return this.ended.signal.aborted;
    }

    private async sendLog(): Promise<void> {
        const { replica, logChanged } = this.options;
        while (!this.isEnded) {
            if (this.nextPosition <= replica.log.basePosition) {
                await this.sendSnapshot();
            }
            else if (
                this.nextPosition <= replica.log.lastPosition || this.sentCommitPosition < replica.commitPosition
            ) {
                await this.sendEntries();
            }
            else {
                await logChanged.wait(this.ended.signal);
            }
        }
    }

    private async sendHeartbeats(): Promise<void> {
        const { replica, clock, term } = this.options;
        const { heartbeatInterval } = replica.timing;
        let confirmedPositions = "";
        for (let heartbeatCount = 0; !this.isEnded; heartbeatCount += 1) {
            const sentAt = clock.now();
            const acknowledged = this.options.acknowledged();
            const encodedPositions = JSON.stringify(acknowledged);
            const response = await this.options.network.request(this.member.address, {
                kind: "heartbeat",
                ...replica.envelope(this.member.memberId),
                term,
                commitPosition: replica.commitPosition,
                commitTerm: replica.log.termAt(replica.commitPosition) ?? 0,
                acknowledged:
                    encodedPositions === confirmedPositions && heartbeatCount % heartbeatsPerPositionResend !== 0
                        ? {}
                        : acknowledged,
            }, 2 * heartbeatInterval);
            this.processResponse(response, sentAt);
            confirmedPositions = response?.kind === "heartbeat" && response.accepted ? encodedPositions : "";
            if (this.heartbeatRequestedAt <= sentAt || response === undefined) {
                const delay = sentAt + heartbeatInterval - clock.now();
                await this.heartbeatRequested.waitWithTimeout(clock, Math.max(delay, 0), this.ended.signal);
            }
        }
    }

    private async sendEntries(): Promise<void> {
        const { replica, clock, term } = this.options;
        const { log, commitPosition } = replica;
        const previousPosition = this.nextPosition - 1;
        const sentAt = clock.now();
        const response = await this.options.network.request(this.member.address, {
            kind: "append",
            ...replica.envelope(this.member.memberId),
            term,
            previousPosition,
            previousTerm: log.termAt(previousPosition) ?? 0,
            entries: log.entriesFrom(this.nextPosition, maximumAppendBytes),
            commitPosition,
        }, replica.timing.appendTimeout);
        this.processResponse(response, sentAt);
        if (response?.kind !== "append" || response.term !== term) {
            await this.backOff();
            return;
        }
        if (response.accepted) {
            this.sentCommitPosition = Math.max(this.sentCommitPosition, commitPosition);
            this.recordMatch(response.position);
            return;
        }
        this.nextPosition = Math.max(1, Math.min(previousPosition, response.position + 1));
        if (response.position >= previousPosition) {
            await this.backOff();
        }
    }

    private async sendSnapshot(): Promise<void> {
        const { replica, term, clock } = this.options;
        const { snapshot } = replica.log;
        if (snapshot === undefined) {
            await this.backOff();
            return;
        }
        const bytes = encodeValue(snapshot);
        let offset = 0;
        while (!this.isEnded) {
            const sentAt = clock.now();
            const response = await this.options.network.request(this.member.address, {
                kind: "snapshotChunk",
                ...replica.envelope(this.member.memberId),
                term,
                snapshotPosition: snapshot.position,
                offset,
                totalBytes: bytes.length,
                bytes: bytes.subarray(offset, offset + snapshotChunkBytes),
            }, replica.timing.appendTimeout);
            this.processResponse(response, sentAt);
            if (response?.kind !== "snapshotChunk" || response.term !== term) {
                await this.backOff();
                return;
            }
            if (response.installed) {
                this.recordInstalledSnapshot(snapshot);
                return;
            }
            if (response.nextOffset <= offset) {
                await this.backOff();
            }
            offset = response.nextOffset;
        }
    }

    private recordInstalledSnapshot(snapshot: LogSnapshot): void {
        this.recordMatch(snapshot.position);
    }

    private recordMatch(position: number): void {
        this.matchedUpTo = Math.max(this.matchedUpTo, position);
        this.nextPosition = this.matchedUpTo + 1;
        this.options.onResponse();
    }

    private processResponse(response: PeerResponse | undefined, sentAt: Milliseconds): void {
        if (this.isEnded || response === undefined || !("term" in response)) {
            return;
        }
        if (response.term === this.options.term) {
            this.options.lease.recordContact(this.member.memberId, sentAt);
            this.options.onResponse();
        }
        this.options.replica.raiseTerm(response.term, "a member has a newer term");
    }

    private async backOff(): Promise<void> {
        const { replica, clock } = this.options;
        await clock.sleep(replica.timing.heartbeatInterval, this.ended.signal);
    }
}
