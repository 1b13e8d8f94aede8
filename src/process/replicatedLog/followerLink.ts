import type { PeerResponse } from "../../connection/peerMessage.js";
import type { PeerNetwork } from "../../connection/peerNetwork.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { WakeUp } from "../../util/wakeUp.js";
import type { LeaderLease } from "./leaderLease.js";
import type { LogSnapshot } from "./logSnapshot.js";
import type { Member } from "./membership.js";
import { encodeValue } from "./recordCodec.js";
import type { Replica } from "./replica.js";

/** Bytes of entries in one message, unless a single entry is larger. */
const maximumAppendBytes = 256 * 1024;

/** Bytes of a snapshot in one message. */
const snapshotChunkBytes = 256 * 1024;

/** Every so many heartbeats the acknowledged positions are told even though they are the same. */
const retellBeats = 10;

/** What the links of one leadership share. */
export interface FollowerLinkParts {
    readonly replica: Replica;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly lease: LeaderLease;
    readonly term: number;
    /** Woken when entries were added, became durable, or were committed. */
    readonly logChanged: WakeUp;
    /** Called when the member made more entries durable. */
    readonly onMatched: () => void;
    /** The positions that the leader knows to be durable, by member. */
    readonly acknowledged: () => Readonly<Record<string, number>>;
}

/** The leader's two tasks for one other member: one sends entries, one sends heartbeats. */
export class FollowerLink {
    private nextPosition: number;
    private matched = 0;
    private sentCommitPosition = 0;
    private readonly heartbeatWanted = new WakeUp();
    private heartbeatWantedAt: Milliseconds = -Infinity;
    private readonly ended = new AbortController();

    constructor(private readonly parts: FollowerLinkParts, private readonly member: Member) {
        this.nextPosition = parts.replica.log.lastPosition + 1;
    }

    /** Position up to which the member made the leader's entries durable. */
    get matchPosition(): number {
        return this.matched;
    }

    /** Runs both tasks until {@link end}. */
    async run(): Promise<void> {
        await Promise.all([this.replicate(), this.beat()]);
    }

    /** Ends both tasks. */
    end(): void {
        this.ended.abort();
    }

    /** Asks for a heartbeat that is sent after `now`, without waiting for its turn. */
    hasten(now: Milliseconds): void {
        this.heartbeatWantedAt = now;
        this.heartbeatWanted.wake();
    }

    private get over(): boolean {
        return this.ended.signal.aborted;
    }

    private async replicate(): Promise<void> {
        const { replica, logChanged } = this.parts;
        while (!this.over) {
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

    private async beat(): Promise<void> {
        const { replica, clock, term } = this.parts;
        const { heartbeatInterval } = replica.timing;
        let told = "";
        for (let beats = 0; !this.over; beats += 1) {
            const sentAt = clock.now();
            const acknowledged = this.parts.acknowledged();
            const telling = JSON.stringify(acknowledged);
            const response = await this.parts.network.request(this.member.address, {
                kind: "heartbeat",
                ...replica.envelope(this.member.memberId),
                term,
                commitPosition: replica.commitPosition,
                commitTerm: replica.log.termAt(replica.commitPosition) ?? 0,
                acknowledged: telling === told && beats % retellBeats !== 0 ? {} : acknowledged,
            }, 2 * heartbeatInterval);
            this.noteResponse(response, sentAt);
            told = response?.kind === "heartbeat" && response.accepted ? telling : "";
            if (this.heartbeatWantedAt <= sentAt || response === undefined) {
                const pause = sentAt + heartbeatInterval - clock.now();
                await this.heartbeatWanted.waitFor(clock, Math.max(pause, 0), this.ended.signal);
            }
        }
    }

    private async sendEntries(): Promise<void> {
        const { replica, clock, term } = this.parts;
        const { log, commitPosition } = replica;
        const previousPosition = this.nextPosition - 1;
        const sentAt = clock.now();
        const response = await this.parts.network.request(this.member.address, {
            kind: "append",
            ...replica.envelope(this.member.memberId),
            term,
            previousPosition,
            previousTerm: log.termAt(previousPosition) ?? 0,
            entries: log.entriesFrom(this.nextPosition, maximumAppendBytes),
            commitPosition,
        }, replica.timing.appendTimeout);
        this.noteResponse(response, sentAt);
        if (response?.kind !== "append" || response.term !== term) {
            await this.pause();
            return;
        }
        if (response.accepted) {
            this.sentCommitPosition = Math.max(this.sentCommitPosition, commitPosition);
            this.noteMatched(response.position);
            return;
        }
        this.nextPosition = Math.max(1, Math.min(previousPosition, response.position + 1));
        if (response.position >= previousPosition) {
            await this.pause();
        }
    }

    private async sendSnapshot(): Promise<void> {
        const { replica, term, clock } = this.parts;
        const { snapshot } = replica.log;
        if (snapshot === undefined) {
            await this.pause();
            return;
        }
        const bytes = encodeValue(snapshot);
        let offset = 0;
        while (!this.over) {
            const sentAt = clock.now();
            const response = await this.parts.network.request(this.member.address, {
                kind: "snapshotChunk",
                ...replica.envelope(this.member.memberId),
                term,
                snapshotPosition: snapshot.position,
                offset,
                totalBytes: bytes.length,
                bytes: bytes.subarray(offset, offset + snapshotChunkBytes),
            }, replica.timing.appendTimeout);
            this.noteResponse(response, sentAt);
            if (response?.kind !== "snapshotChunk" || response.term !== term) {
                await this.pause();
                return;
            }
            if (response.installed) {
                this.noteInstalled(snapshot);
                return;
            }
            if (response.nextOffset <= offset) {
                await this.pause();
            }
            offset = response.nextOffset;
        }
    }

    private noteInstalled(snapshot: LogSnapshot): void {
        this.noteMatched(snapshot.position);
    }

    private noteMatched(position: number): void {
        this.matched = Math.max(this.matched, position);
        this.nextPosition = this.matched + 1;
        this.parts.onMatched();
    }

    private noteResponse(response: PeerResponse | undefined, sentAt: Milliseconds): void {
        if (this.over || response === undefined || !("term" in response)) {
            return;
        }
        if (response.term === this.parts.term) {
            this.parts.lease.noteAnswer(this.member.memberId, sentAt);
            this.parts.onMatched();
        }
        this.parts.replica.raiseTerm(response.term, "a member has a newer term");
    }

    private async pause(): Promise<void> {
        const { replica, clock } = this.parts;
        await clock.sleep(replica.timing.heartbeatInterval, this.ended.signal);
    }
}
