import type { PeerRequestOf } from "../../connection/peerMessage.js";
import type { PeerNetwork } from "../../connection/peerNetwork.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { committablePosition } from "./commitRule.js";
import { FollowerLink } from "./followerLink.js";
import { LeaderLease } from "./leaderLease.js";
import type { EntryContent } from "./logEntry.js";
import { MemberAdmission } from "./memberAdmission.js";
import type { ToleratedLosses } from "./memberAdmission.js";
import type { MembershipChange } from "./membership.js";
import { changeMembership, findMember, isVoter, votersOf } from "./membership.js";
import type { AssignmentListener } from "./proposalWriter.js";
import { ProposalWriter } from "./proposalWriter.js";
import type { Replica } from "./replica.js";

/** Dependencies and settings of a {@link Leadership}. */
export interface LeadershipOptions {
    readonly replica: Replica;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    /** Addresses of all control processes that the settings name. */
    readonly expectedAddresses: readonly string[];
    /** Whether members that the settings do not name may join; false by default. */
    readonly admitsUnlisted?: boolean;
    /** Losses that the group must bear; if undefined, voters are removed only in favour of new members. */
    readonly toleratedLosses?: ToleratedLosses | undefined;
}

/** The leader's state and tasks for one term. */
export class Leadership {
    /** Term of this leadership; also the fencing number of all its calls to the platform. */
    readonly term: number;

    private readonly replica: Replica;
    private readonly clock: Clock;
    private readonly lease: LeaderLease;
    private readonly writer: ProposalWriter;
    private readonly admission: MemberAdmission;
    private readonly links = new Map<string, FollowerLink>();
    /** When the link to each member was created. */
    private readonly linkedAt = new Map<string, Milliseconds>();
    private readonly logChanged = new ConditionVariable();
    private readonly ended = new AbortController();
    /** Position of the no-op entry that starts the term (Raft dissertation §6.4). */
    private readonly noOpPosition: number;
    private transferring = false;
    private changeQueued = false;

    /** @param electedAt When the election was won. */
    constructor(private readonly options: LeadershipOptions, electedAt: Milliseconds) {
        this.replica = options.replica;
        this.clock = options.clock;
        this.term = this.replica.term;
        this.noOpPosition = this.replica.log.lastPosition + 1;
        this.lease = new LeaderLease(this.replica.timing, this.replica.memberId, electedAt);
        this.admission = new MemberAdmission(
            options.expectedAddresses,
            options.admitsUnlisted === true,
            options.toleratedLosses,
        );
        this.writer = new ProposalWriter(this.replica, this.clock, this.term, () => {
            this.advanceCommitPosition();
        });
    }

    /** Runs the leader's tasks until {@link end} is called. */
    async run(): Promise<void> {
        this.writer.propose({ kind: "noOp" }, () => undefined);
        await Promise.all([this.writer.run(this.ended.signal), this.monitor()]);
    }

    /** Releases the lease and stops all tasks. */
    end(reason: string): void {
        if (this.ended.signal.aborted) {
            return;
        }
        this.lease.release();
        this.ended.abort();
        for (const link of this.links.values()) {
            link.end();
        }
        this.replica.events.write("leadershipEnded", { group: this.replica.group, term: this.term, reason });
    }

    /** Queues an entry for the log. */
    propose(content: EntryContent, onAssigned: AssignmentListener): void {
        if (this.transferring || this.ended.signal.aborted) {
            onAssigned(Err(failure("notLeader", { leader: "unknown" })));
            return;
        }
        this.writer.propose(content, onAssigned);
    }

    /** Queues a single-server membership change; at most one may be pending (Raft dissertation §4.1). */
    proposeChange(change: MembershipChange, onAssigned: AssignmentListener): void {
        const checked = this.checkChange(change);
        if (checked.err) {
            onAssigned(checked);
            return;
        }
        this.changeQueued = true;
        this.propose(checked.val, assignment => {
            this.changeQueued = false;
            onAssigned(assignment);
        });
    }

    /** Whether an entry of this term is committed, so that everything that earlier leaders committed is known. */
    get hasCommittedInTerm(): boolean {
        return this.replica.commitPosition >= this.noOpPosition;
    }

    /** Position of the first entry of the term, which is a no-op. */
    get firstPosition(): number {
        return this.noOpPosition;
    }

    /** Whether the lease lasts beyond `now + callDuration`. */
    holdsLease(now: Milliseconds, callDuration: Milliseconds): boolean {
        return this.lease.holds(this.replica.membership, now, callDuration);
    }

    /** Whether a call to the platform may start at `now` that ends within `callDuration`. */
    permitsCall(now: Milliseconds, callDuration: Milliseconds): boolean {
        return this.lease.permitsCall(this.replica.membership, now, callDuration);
    }

    /** Time since the last contact with a member, or since it was admitted if that was later; 0 for the leader itself. */
    silenceOf(memberId: string, now: Milliseconds): Milliseconds {
        if (memberId === this.replica.memberId) {
            return 0;
        }
        const timeSinceAdmission = now - (this.linkedAt.get(memberId) ?? now);
        return Math.min(timeSinceAdmission, this.lease.timeSinceContact(memberId, now));
    }

    /** Accepts a request to join; false if its address is not expected. */
    acceptJoin(request: PeerRequestOf<"join">): boolean {
        return this.admission.accept(request, this.replica.membership);
    }

    /** Obtains a read index: the commit position, confirmed by a quorum's responses to messages sent after `now`. */
    async confirmPosition(now: Milliseconds, signal: AbortSignal): Promise<Result<number, Failure>> {
        const endSignal = AbortSignal.any([signal, this.ended.signal]);
        while (!this.hasCommittedInTerm && !endSignal.aborted) {
            await this.logChanged.wait(endSignal);
        }
        const position = this.replica.commitPosition;
        for (const link of this.links.values()) {
            link.requestHeartbeat(now);
        }
        while (this.lease.quorumContact(this.replica.membership, this.clock.now()) < now && !endSignal.aborted) {
            await this.logChanged.wait(endSignal);
        }
        return endSignal.aborted ? Err(failure("quorumUnavailable")) : Ok(position);
    }

    /** Transfers leadership to the most up-to-date voter; true if it accepted. */
    async transferLeadership(signal: AbortSignal): Promise<boolean> {
        this.transferring = true;
        this.lease.release();
        const successor = this.mostUpToDateVoter();
        const address = this.replica.membership.members.find(member => member.memberId === successor)?.address;
        if (successor === undefined || address === undefined) {
            return false;
        }
        const endSignal = AbortSignal.any([signal, this.ended.signal]);
        while ((this.links.get(successor)?.matchPosition ?? 0) < this.replica.log.lastPosition && !endSignal.aborted) {
            await this.logChanged.wait(endSignal);
        }
        if (endSignal.aborted) {
            return false;
        }
        const request = { kind: "takeLead" as const, ...this.replica.envelope(successor), term: this.term };
        const pendingResponse = this.options.network.request(
            address,
            request,
            this.replica.timing.minimumElectionTimeout,
        );
        this.replica.resetElectionTimeout(this.clock.now());
        this.replica.becomeFollower(undefined, "leadership was transferred");
        const response = await pendingResponse;
        return response?.kind === "takeLead" && response.accepted;
    }

    /** Commits the entries that are durable on a quorum, and wakes the tasks that wait for changes of the log. */
    private advanceCommitPosition(): void {
        const { log, membership } = this.replica;
        this.replica.commit(committablePosition({
            term: this.term,
            membership,
            durablePositionOf: memberId => this.durablePositionOf(memberId),
            termAt: position => log.termAt(position),
        }));
        this.replica.acknowledged.record(this.term, this.acknowledgedPositions());
        this.logChanged.notifyAll();
    }

    private durablePositionOf(memberId: string): number {
        return memberId === this.replica.memberId
            ? this.replica.log.durablePosition
            : this.links.get(memberId)?.matchPosition ?? 0;
    }

    private acknowledgedPositions(): Readonly<Record<string, number>> {
        const { members } = this.replica.membership;
        const positions = members.map(({ memberId }) => [memberId, this.durablePositionOf(memberId)] as const);
        return Object.fromEntries(positions.filter(([, position]) => position > 0));
    }

    /** Once per heartbeat interval, reconciles the links with the membership, checks the quorum and admits members. */
    private async monitor(): Promise<void> {
        let leaseReported = false;
        while (!this.ended.signal.aborted) {
            const now = this.clock.now();
            this.reconcileLinks(now);
            if (!this.lease.hasRecentQuorumContact(this.replica.membership, now)) {
                this.replica.resetElectionTimeout(now);
                this.replica.becomeFollower(undefined, "no quorum responds");
                return;
            }
            if (this.writer.writingTime(now) > this.replica.timing.appendTimeout) {
                this.replica.resetElectionTimeout(now);
                this.replica.becomeFollower(undefined, "the own disk does not complete a write");
                return;
            }
            if (!leaseReported && this.permitsCall(now, 0)) {
                leaseReported = true;
                this.replica.events.write("leaseObtained", { group: this.replica.group, term: this.term });
            }
            this.proposeNextAdmission(now);
            await this.clock.sleep(this.replica.timing.heartbeatInterval, this.ended.signal);
        }
    }

    private reconcileLinks(now: Milliseconds): void {
        const { members } = this.replica.membership;
        for (const [memberId, link] of this.links) {
            if (!members.some(member => member.memberId === memberId)) {
                link.end();
                this.links.delete(memberId);
                this.linkedAt.delete(memberId);
            }
        }
        for (const member of members) {
            if (member.memberId !== this.replica.memberId && !this.links.has(member.memberId)) {
                const link = new FollowerLink(
                    {
                        ...this.options,
                        lease: this.lease,
                        term: this.term,
                        logChanged: this.logChanged,
                        onResponse: () => {
                            this.advanceCommitPosition();
                        },
                        acknowledged: () => this.acknowledgedPositions(),
                    },
                    member,
                );
                this.links.set(member.memberId, link);
                this.linkedAt.set(member.memberId, now);
                void link.run();
            }
        }
    }

    private proposeNextAdmission(now: Milliseconds): void {
        if (this.changeBlockedReason() !== undefined || this.transferring) {
            return;
        }
        const { membership, memberId, commitPosition, group } = this.replica;
        const change = this.admission.nextChange(
            membership,
            memberId,
            learnerId => this.durablePositionOf(learnerId) >= commitPosition,
            otherId => this.silenceOf(otherId, now),
        );
        if (change === undefined) {
            return;
        }
        const changedId = change.kind === "addLearner" ? change.member.memberId : change.memberId;
        const changed = changeMembership(membership, change).unwrapOr(membership);
        this.proposeChange(change, assignment => {
            if (assignment.ok) {
                this.replica.events.write("membershipChanged", {
                    group,
                    change: change.kind,
                    memberId: changedId,
                    address: findMember(change.kind === "remove" ? membership : changed, changedId)?.address,
                    silence: change.kind === "remove" ? Math.round(this.silenceOf(changedId, now)) : undefined,
                    voters: votersOf(changed).length,
                    position: assignment.val,
                });
            }
        });
    }

    private checkChange(change: MembershipChange): Result<EntryContent, Failure> {
        const reason = this.changeBlockedReason() ?? this.targetRefusedReason(change);
        if (reason !== undefined) {
            return Err(failure("membershipChangeRefused", { reason }));
        }
        const changed = changeMembership(this.replica.membership, change);
        return changed.ok ? Ok({ kind: "membership", membership: changed.val }) : changed;
    }

    private targetRefusedReason(change: MembershipChange): string | undefined {
        if (change.kind === "remove" && change.memberId === this.replica.memberId) {
            return "the leader cannot remove itself; hand the lead over first";
        }
        if (change.kind === "promote" && this.durablePositionOf(change.memberId) < this.replica.commitPosition) {
            return "the learner has not caught up";
        }
        return undefined;
    }

    private changeBlockedReason(): string | undefined {
        if (!this.hasCommittedInTerm) {
            return "the leader has not yet committed an entry of its term";
        }
        const pending = this.replica.log.membershipPosition > this.replica.commitPosition || this.changeQueued;
        return pending ? "another change is under way" : undefined;
    }

    private mostUpToDateVoter(): string | undefined {
        const { membership, memberId } = this.replica;
        const voters = [...this.links].filter(([id]) => id !== memberId && isVoter(membership, id));
        return voters.sort(([, a], [, b]) => b.matchPosition - a.matchPosition)[0]?.[0];
    }
}
