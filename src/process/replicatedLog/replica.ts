import type { PeerRequest } from "../../connection/peerMessage.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { formatFailure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import type { RandomSource } from "../../util/randomSource.js";
import { SerialQueue } from "../../util/serialQueue.js";
import { AcknowledgedPositions } from "./acknowledgedPositions.js";
import type { DurableLog } from "./durableLog.js";
import type { GroupFiles } from "./groupFiles.js";
import type { Leadership } from "./leadership.js";
import type { LogTiming } from "./logTiming.js";
import type { Membership } from "./membership.js";
import { findMember, isVoter } from "./membership.js";
import type { VoteRecord } from "./voteRecord.js";

/** Dependencies and settings of a {@link Replica}. */
export interface ReplicaOptions {
    readonly files: GroupFiles;
    readonly log: DurableLog;
    readonly votes: VoteRecord;
    readonly timing: LogTiming;
    readonly random: RandomSource;
    readonly events: EventLog;
}

/** Role of a member in its current term. */
export type ReplicaRole = "follower" | "candidate" | "leader";

/** The Raft state of one member of one log group, shared by its tasks. */
export class Replica {
    /** Serializes all actions that change durable state. */
    readonly storageQueue = new SerialQueue();
    /** Woken when the role, the leader or the term changes, or when a leadership transfer is accepted. */
    readonly roleChanged = new ConditionVariable();
    /** Woken when the commit position increases. */
    readonly committed = new ConditionVariable();
    /** The durable positions of members that leaders have reported. */
    readonly acknowledged = new AcknowledgedPositions();

    readonly memberId: string;
    readonly group: string;
    readonly log: DurableLog;
    readonly timing: LogTiming;
    readonly events: EventLog;

    private roleState: { readonly role: ReplicaRole; readonly leaderId: string | undefined; } = {
        role: "follower",
        leaderId: undefined,
    };
    private currentTerm: number;
    private currentLeadership: Leadership | undefined;
    private committedPosition: number;
    private voteRefusalEnd: Milliseconds;
    private electionDueAt: Milliseconds;
    private haltFailure: Failure | undefined;
    private transferRequested = false;

    /**
     * @param now The current time. Leader contacts before a restart are not stored, so the member refuses all
     *     candidates for as long as a leader may still rely on one of them.
     */
    constructor(private readonly options: ReplicaOptions, now: Milliseconds) {
        this.memberId = options.files.identity.memberId;
        this.group = options.files.group;
        this.log = options.log;
        this.timing = options.timing;
        this.events = options.events;
        this.currentTerm = options.votes.term;
        this.committedPosition = options.log.snapshot?.position ?? 0;
        this.voteRefusalEnd = now + options.timing.minimumElectionTimeout;
        this.electionDueAt = this.voteRefusalEnd + this.randomTimeout() - options.timing.minimumElectionTimeout;
    }

    /** The current term: the highest one seen. */
    get term(): number {
        return this.currentTerm;
    }

    get role(): ReplicaRole {
        return this.roleState.role;
    }

    /** Identity of the leader of the current term; undefined when it is not known. */
    get leaderId(): string | undefined {
        return this.roleState.leaderId;
    }

    /** The leadership of this member; undefined while it is not the leader. */
    get leadership(): Leadership | undefined {
        return this.currentLeadership;
    }

    /** Highest position that is known to be committed. */
    get commitPosition(): number {
        return this.committedPosition;
    }

    /** Time until which this member refuses candidates, because a leader may rely on it for its lease. */
    get votesRefusedUntil(): Milliseconds {
        return this.voteRefusalEnd;
    }

    /** Time at which this member starts an election unless a leader contacts it before. */
    get electionDeadline(): Milliseconds {
        return this.electionDueAt;
    }

    /** Whether this member has accepted a leadership transfer and should start an election at once. */
    get isTransferTarget(): boolean {
        return this.transferRequested;
    }

    /** The failure that halted this member; undefined while it takes part in the group. */
    get halted(): Failure | undefined {
        return this.haltFailure;
    }

    get membership(): Membership {
        return this.log.membership;
    }

    /** Whether this member may become a candidate. */
    get electable(): boolean {
        return this.haltFailure === undefined && isVoter(this.membership, this.memberId);
    }

    /** Identity of the member that has this member's durable vote in the current term, if any. */
    get votedFor(): string | undefined {
        return this.options.votes.term === this.currentTerm ? this.options.votes.votedFor : undefined;
    }

    /** Address at which peers reach the leader; undefined when it is not known. */
    get leaderPeerAddress(): string | undefined {
        return this.leaderId === undefined ? undefined : findMember(this.membership, this.leaderId)?.address;
    }

    /** The fields common to all requests to a member. */
    envelope(to: string): Pick<PeerRequest, "group" | "from" | "to"> {
        return { group: this.group, from: this.memberId, to };
    }

    /** Adopts a newer term and becomes a follower in it; ignores any other term. */
    raiseTerm(term: number, reason: string): void {
        if (term <= this.currentTerm) {
            return;
        }
        this.currentTerm = term;
        this.becomeFollower(undefined, reason);
    }

    /** Becomes a follower of a leader, or of an unknown one; ends this member's own leadership. */
    becomeFollower(leaderId: string | undefined, reason: string): void {
        const endedLeadership = this.currentLeadership;
        this.currentLeadership = undefined;
        this.changeRole("follower", leaderId);
        endedLeadership?.end(reason);
    }

    /** Records contact from the leader of a term; false if the term is stale or this member leads it. */
    recordLeaderContact(leaderId: string, term: number, now: Milliseconds): boolean {
        if (term < this.currentTerm || (term === this.currentTerm && this.role === "leader")) {
            return false;
        }
        this.raiseTerm(term, "another leader was elected");
        if (this.role !== "follower" || this.leaderId !== leaderId) {
            this.becomeFollower(leaderId, "another leader was elected");
        }
        this.voteRefusalEnd = Math.max(this.voteRefusalEnd, now + this.timing.minimumElectionTimeout);
        this.electionDueAt = now + this.randomTimeout();
        return true;
    }

    /** Restarts the election timeout with a random duration, and drops a pending leadership transfer. */
    resetElectionTimeout(now: Milliseconds): void {
        this.electionDueAt = now + this.randomTimeout();
        this.transferRequested = false;
    }

    /** Accepts the leader's request to start an election at once (leadership transfer). */
    acceptTransfer(): void {
        this.transferRequested = true;
        this.roleChanged.notifyAll();
    }

    /** Becomes a candidate in a new term; the caller makes the term and the vote for itself durable. */
    becomeCandidate(): void {
        this.currentTerm += 1;
        this.changeRole("candidate", undefined);
    }

    /** Becomes the leader of the current term. */
    becomeLeader(leadership: Leadership): void {
        this.currentLeadership = leadership;
        this.changeRole("leader", this.memberId);
    }

    /** Makes the current term and a vote durable; must run in the storage queue. */
    async saveVote(votedFor: string | undefined): Promise<boolean> {
        const saved = await this.options.votes.save(this.currentTerm, votedFor);
        if (saved.err) {
            this.handleStorageFailure(saved.val);
        }
        return saved.ok;
    }

    /** Makes the current term durable unless it already is; must run in the storage queue. */
    async saveTerm(): Promise<boolean> {
        return this.options.votes.term === this.currentTerm || this.saveVote(undefined);
    }

    /**
     * Advances the commit position, at most to the last entry that this member's own disk holds: entries that are still
     * being written are in the log, but are rolled back if the write fails. Lower positions are ignored.
     */
    commit(position: number): void {
        const newPosition = Math.min(position, this.log.durablePosition);
        if (newPosition > this.committedPosition) {
            this.committedPosition = newPosition;
            this.committed.notifyAll();
        }
    }

    /** Logs a storage failure, and halts the member unless the disk is only full. */
    handleStorageFailure(storageFailure: Failure): void {
        this.events.write("appendRefused", { group: this.group, code: storageFailure.code });
        if (storageFailure.code !== "storageFull") {
            this.halt(storageFailure);
        }
    }

    /** Halts this member until it is restarted. */
    halt(cause: Failure): void {
        if (this.haltFailure !== undefined) {
            return;
        }
        this.haltFailure = cause;
        this.events.write("memberHalted", { group: this.group, code: cause.code, reason: formatFailure(cause) });
        this.becomeFollower(undefined, "the member halted");
    }

    private changeRole(role: ReplicaRole, leaderId: string | undefined): void {
        this.roleState = { role, leaderId };
        this.transferRequested = false;
        this.roleChanged.notifyAll();
    }

    private randomTimeout(): Milliseconds {
        const { minimumElectionTimeout: minimum, maximumElectionTimeout: maximum } = this.timing;
        return minimum + this.options.random.float() * (maximum - minimum);
    }
}
