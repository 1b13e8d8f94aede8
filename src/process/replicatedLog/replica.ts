import type { PeerRequest } from "../../connection/peerMessage.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { describeFailure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { RandomSource } from "../../util/randomSource.js";
import { SerialQueue } from "../../util/serialQueue.js";
import { WakeUp } from "../../util/wakeUp.js";
import { AcknowledgedPositions } from "./acknowledgedPositions.js";
import type { DurableLog } from "./durableLog.js";
import type { GroupFiles } from "./groupFiles.js";
import type { Leadership } from "./leadership.js";
import type { LogTiming } from "./logTiming.js";
import type { Membership } from "./membership.js";
import { findMember, isVoter } from "./membership.js";
import type { VoteRecord } from "./voteRecord.js";

/** What a replica is made of. */
export interface ReplicaParts {
    readonly files: GroupFiles;
    readonly log: DurableLog;
    readonly votes: VoteRecord;
    readonly timing: LogTiming;
    readonly random: RandomSource;
    readonly events: EventLog;
}

/** The part that a member plays in its present term. */
export type ReplicaRole = "follower" | "candidate" | "leader";

/** The state of one member of one log group, shared by its tasks. */
export class Replica {
    /** Runs everything that changes durable state, one action after the other. */
    readonly storageQueue = new SerialQueue();
    /** Woken when role, leader, term or election deadline changed. */
    readonly roleChanged = new WakeUp();
    /** Woken when the commit position rose. */
    readonly committed = new WakeUp();
    /** What leaders told about the positions that members made durable. */
    readonly acknowledged = new AcknowledgedPositions();

    readonly memberId: string;
    readonly group: string;
    readonly log: DurableLog;
    readonly timing: LogTiming;
    readonly events: EventLog;

    private present: { readonly role: ReplicaRole; readonly leaderId: string | undefined; } = {
        role: "follower",
        leaderId: undefined,
    };
    private newestTerm: number;
    private ledBy: Leadership | undefined;
    private committedUpTo: number;
    private promise: Milliseconds;
    private deadline: Milliseconds;
    private haltedBy: Failure | undefined;
    private leadOffered = false;

    /**
     * @param now The present time. The promises that the member gave before a restart are forgotten, so that it refuses
     *     all candidates for as long as any of them may last.
     */
    constructor(private readonly parts: ReplicaParts, now: Milliseconds) {
        this.memberId = parts.files.identity.memberId;
        this.group = parts.files.group;
        this.log = parts.log;
        this.timing = parts.timing;
        this.events = parts.events;
        this.newestTerm = parts.votes.term;
        this.committedUpTo = parts.log.snapshot?.position ?? 0;
        this.promise = now + parts.timing.electionTimeoutLowest;
        this.deadline = this.promise + this.randomTimeout() - parts.timing.electionTimeoutLowest;
    }

    /** The newest term seen. */
    get term(): number {
        return this.newestTerm;
    }

    get role(): ReplicaRole {
        return this.present.role;
    }

    /** Identity of the leader of the present term, as far as known. */
    get leaderId(): string | undefined {
        return this.present.leaderId;
    }

    /** The leadership of this member; undefined while it does not lead. */
    get leadership(): Leadership | undefined {
        return this.ledBy;
    }

    /** Position up to which entries are known to be committed. */
    get commitPosition(): number {
        return this.committedUpTo;
    }

    /** Until when this member refuses candidates, because a leader may count on its promise. */
    get promiseUntil(): Milliseconds {
        return this.promise;
    }

    /** When this member seeks votes unless it hears from a leader. */
    get electionDeadline(): Milliseconds {
        return this.deadline;
    }

    /** Whether the leader asked this member to take the lead. */
    get takesLead(): boolean {
        return this.leadOffered;
    }

    /** Why this member takes part no more; undefined while it does. */
    get halted(): Failure | undefined {
        return this.haltedBy;
    }

    get membership(): Membership {
        return this.log.membership;
    }

    /** Whether this member may stand for election. */
    get electable(): boolean {
        return this.haltedBy === undefined && isVoter(this.membership, this.memberId);
    }

    /** Identity that has this member's durable vote in the present term. */
    get votedFor(): string | undefined {
        return this.parts.votes.term === this.newestTerm ? this.parts.votes.votedFor : undefined;
    }

    /** Address of the leader for peers, as far as known. */
    get leaderPeerAddress(): string | undefined {
        return this.leaderId === undefined ? undefined : findMember(this.membership, this.leaderId)?.address;
    }

    /** The fields that each request to a member carries. */
    envelope(to: string): Pick<PeerRequest, "group" | "from" | "to"> {
        return { group: this.group, from: this.memberId, to };
    }

    /** Takes over a newer term; whoever led or stood for election before does so no more. */
    raiseTerm(term: number, reason: string): void {
        if (term <= this.newestTerm) {
            return;
        }
        this.newestTerm = term;
        this.follow(undefined, reason);
    }

    /** Becomes a follower of a leader, or of none that is known. */
    follow(leaderId: string | undefined, reason: string): void {
        const ended = this.ledBy;
        this.ledBy = undefined;
        this.change("follower", leaderId);
        ended?.end(reason);
    }

    /** Hears from the leader of a term; false when the term is past. */
    hearLeader(leaderId: string, term: number, now: Milliseconds): boolean {
        if (term < this.newestTerm || (term === this.newestTerm && this.role === "leader")) {
            return false;
        }
        this.raiseTerm(term, "another leader was elected");
        if (this.role !== "follower" || this.leaderId !== leaderId) {
            this.follow(leaderId, "another leader was elected");
        }
        this.promise = Math.max(this.promise, now + this.timing.electionTimeoutLowest);
        this.deadline = now + this.randomTimeout();
        return true;
    }

    /** Postpones this member's own candidature by a random timeout. */
    postponeElection(now: Milliseconds): void {
        this.deadline = now + this.randomTimeout();
        this.leadOffered = false;
    }

    /** Takes the leader's offer to stand for election at once. */
    acceptLead(): void {
        this.leadOffered = true;
        this.roleChanged.wake();
    }

    /** Starts to stand for election in a new term; the caller makes term and own vote durable. */
    stand(): void {
        this.newestTerm += 1;
        this.change("candidate", undefined);
    }

    /** Becomes the leader of the present term. */
    lead(leadership: Leadership): void {
        this.ledBy = leadership;
        this.change("leader", this.memberId);
    }

    /** Makes the present term and a vote durable; to be called in the storage queue. */
    async saveVote(votedFor: string | undefined): Promise<boolean> {
        const saved = await this.parts.votes.save(this.newestTerm, votedFor);
        if (saved.err) {
            this.noteStorageFault(saved.val);
        }
        return saved.ok;
    }

    /** Makes the present term durable if it is not; to be called in the storage queue. */
    async saveTerm(): Promise<boolean> {
        return this.parts.votes.term === this.newestTerm || this.saveVote(undefined);
    }

    /** Raises the commit position; it never falls. */
    commit(position: number): void {
        const reached = Math.min(position, this.log.lastPosition);
        if (reached > this.committedUpTo) {
            this.committedUpTo = reached;
            this.committed.wake();
        }
    }

    /** Reports a fault of the storage, and halts unless the disk is merely full. */
    noteStorageFault(fault: Failure): void {
        this.events.write("appendRefused", { group: this.group, code: fault.code });
        if (fault.code !== "storageFull") {
            this.halt(fault);
        }
    }

    /** Ends this member's part for good, until it is restarted. */
    halt(fault: Failure): void {
        if (this.haltedBy !== undefined) {
            return;
        }
        this.haltedBy = fault;
        this.events.write("memberHalted", { group: this.group, code: fault.code, reason: describeFailure(fault) });
        this.follow(undefined, "the member halted");
    }

    private change(role: ReplicaRole, leaderId: string | undefined): void {
        this.present = { role, leaderId };
        this.leadOffered = false;
        this.roleChanged.wake();
    }

    private randomTimeout(): Milliseconds {
        const { electionTimeoutLowest, electionTimeoutHighest } = this.timing;
        return electionTimeoutLowest + this.parts.random.float() * (electionTimeoutHighest - electionTimeoutLowest);
    }
}
