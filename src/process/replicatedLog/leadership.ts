import type { PeerRequestOf } from "../../connection/peerMessage.js";
import type { PeerNetwork } from "../../connection/peerNetwork.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { WakeUp } from "../../util/wakeUp.js";
import { committablePosition } from "./commitRule.js";
import { FollowerLink } from "./followerLink.js";
import { LeaderLease } from "./leaderLease.js";
import type { EntryContent } from "./logEntry.js";
import { MemberAdmission } from "./memberAdmission.js";
import type { MembershipChange } from "./membership.js";
import { changeMembership, isVoter } from "./membership.js";
import type { PlacementListener } from "./proposalWriter.js";
import { ProposalWriter } from "./proposalWriter.js";
import type { Replica } from "./replica.js";

/** What a leadership is made of. */
export interface LeadershipParts {
    readonly replica: Replica;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    /** Addresses that the settings give to control processes. */
    readonly expectedAddresses: readonly string[];
    readonly admitsUnlisted?: boolean;
}

/** What exists while a member leads one term. */
export class Leadership {
    /** Term that is led; the fencing number of all acts in it. */
    readonly term: number;

    private readonly replica: Replica;
    private readonly clock: Clock;
    private readonly lease: LeaderLease;
    private readonly writer: ProposalWriter;
    private readonly admission: MemberAdmission;
    private readonly links = new Map<string, FollowerLink>();
    private readonly logChanged = new WakeUp();
    private readonly ended = new AbortController();
    /** Position of the entry that opened the term. */
    private readonly openingPosition: number;
    private handingOver = false;
    private changeQueued = false;

    /** @param electedAt When the vote was won. */
    constructor(private readonly parts: LeadershipParts, electedAt: Milliseconds) {
        this.replica = parts.replica;
        this.clock = parts.clock;
        this.term = this.replica.term;
        this.openingPosition = this.replica.log.lastPosition + 1;
        this.lease = new LeaderLease(this.replica.timing, this.replica.memberId, electedAt);
        this.admission = new MemberAdmission(parts.expectedAddresses, parts.admitsUnlisted === true);
        this.writer = new ProposalWriter(this.replica, this.term, () => {
            this.advance();
        });
    }

    /** Leads until {@link end}. */
    async run(): Promise<void> {
        this.writer.propose({ kind: "noOp" }, () => undefined);
        await Promise.all([this.writer.run(this.ended.signal), this.watch()]);
    }

    /** Ends all tasks. */
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

    /** Queues a content for the log. */
    propose(content: EntryContent, onPlaced: PlacementListener): void {
        if (this.handingOver || this.ended.signal.aborted) {
            onPlaced(Err(failure("notLeader", { leader: "unknown" })));
            return;
        }
        this.writer.propose(content, onPlaced);
    }

    /** Queues one step of change of the members; at most one is under way (Raft dissertation §4.1). */
    proposeChange(change: MembershipChange, onPlaced: PlacementListener): void {
        const checked = this.checkChange(change);
        if (checked.err) {
            onPlaced(checked);
            return;
        }
        this.changeQueued = true;
        this.propose(checked.val, placement => {
            this.changeQueued = false;
            onPlaced(placement);
        });
    }

    /** Whether the term's first entry is committed, and so everything that earlier leaders committed is known. */
    get open(): boolean {
        return this.replica.commitPosition >= this.openingPosition;
    }

    /** Position of the entry that opened the term. */
    get firstPosition(): number {
        return this.openingPosition;
    }

    /** Whether the lease lasts beyond `now + room`. */
    holdsLease(now: Milliseconds, room: Milliseconds): boolean {
        return this.lease.holds(this.replica.membership, now, room);
    }

    /** Whether an act may start at `now` that ends within `room`. */
    permitsAct(now: Milliseconds, room: Milliseconds): boolean {
        return this.lease.permits(this.replica.membership, now, room);
    }

    /** Takes a request to join. */
    acceptJoin(request: PeerRequestOf<"join">): boolean {
        return this.admission.accept(request, this.replica.membership);
    }

    /** Waits until a quorum has answered messages sent after `now`; then returns the position known at `now`. */
    async confirmPosition(now: Milliseconds, signal: AbortSignal): Promise<Result<number, Failure>> {
        const either = AbortSignal.any([signal, this.ended.signal]);
        while (!this.open && !either.aborted) {
            await this.logChanged.wait(either);
        }
        const position = this.replica.commitPosition;
        for (const link of this.links.values()) {
            link.hasten(now);
        }
        while (this.lease.quorumContact(this.replica.membership, this.clock.now()) < now && !either.aborted) {
            await this.logChanged.wait(either);
        }
        return either.aborted ? Err(failure("quorumUnavailable")) : Ok(position);
    }

    /** Hands the lead to the member that is furthest; true when it took the offer. */
    async handOver(signal: AbortSignal): Promise<boolean> {
        this.handingOver = true;
        this.lease.release();
        const successor = this.furthestVoter();
        const address = this.replica.membership.members.find(member => member.memberId === successor)?.address;
        if (successor === undefined || address === undefined) {
            return false;
        }
        const either = AbortSignal.any([signal, this.ended.signal]);
        while ((this.links.get(successor)?.matchPosition ?? 0) < this.replica.log.lastPosition && !either.aborted) {
            await this.logChanged.wait(either);
        }
        if (either.aborted) {
            return false;
        }
        const request = { kind: "takeLead" as const, ...this.replica.envelope(successor), term: this.term };
        const offered = this.parts.network.request(address, request, this.replica.timing.electionTimeoutLowest);
        this.replica.postponeElection(this.clock.now());
        this.replica.follow(undefined, "the lead was handed over");
        const response = await offered;
        return response?.kind === "takeLead" && response.accepted;
    }

    /** Commits what a quorum made durable, and wakes the tasks. */
    private advance(): void {
        const { log, membership } = this.replica;
        this.replica.commit(committablePosition({
            term: this.term,
            membership,
            durablePositionOf: memberId => this.durablePositionOf(memberId),
            termAt: position => log.termAt(position),
        }));
        this.replica.acknowledged.note(this.term, this.acknowledgedPositions());
        this.logChanged.wake();
    }

    private durablePositionOf(memberId: string): number {
        return memberId === this.replica.memberId
            ? this.replica.log.syncedPosition
            : this.links.get(memberId)?.matchPosition ?? 0;
    }

    private acknowledgedPositions(): Readonly<Record<string, number>> {
        const { members } = this.replica.membership;
        const positions = members.map(({ memberId }) => [memberId, this.durablePositionOf(memberId)] as const);
        return Object.fromEntries(positions.filter(([, position]) => position > 0));
    }

    /** Keeps the links equal to the membership, checks the quorum and admits members, once in each interval. */
    private async watch(): Promise<void> {
        let mayAct = false;
        while (!this.ended.signal.aborted) {
            const now = this.clock.now();
            this.adjustLinks();
            if (!this.lease.hearsQuorum(this.replica.membership, now)) {
                this.replica.postponeElection(now);
                this.replica.follow(undefined, "no quorum answers");
                return;
            }
            if (!mayAct && this.permitsAct(now, 0)) {
                mayAct = true;
                this.replica.events.write("leaseObtained", { group: this.replica.group, term: this.term });
            }
            this.admitNext(now);
            await this.clock.sleep(this.replica.timing.heartbeatInterval, this.ended.signal);
        }
    }

    private adjustLinks(): void {
        const { members } = this.replica.membership;
        for (const [memberId, link] of this.links) {
            if (!members.some(member => member.memberId === memberId)) {
                link.end();
                this.links.delete(memberId);
            }
        }
        for (const member of members) {
            if (member.memberId !== this.replica.memberId && !this.links.has(member.memberId)) {
                const link = new FollowerLink(
                    {
                        ...this.parts,
                        lease: this.lease,
                        term: this.term,
                        logChanged: this.logChanged,
                        onMatched: () => {
                            this.advance();
                        },
                        acknowledged: () => this.acknowledgedPositions(),
                    },
                    member,
                );
                this.links.set(member.memberId, link);
                void link.run();
            }
        }
    }

    private admitNext(now: Milliseconds): void {
        if (this.checkNoChangePending() !== undefined || this.handingOver) {
            return;
        }
        const { membership, memberId, commitPosition, group } = this.replica;
        const change = this.admission.nextChange(
            membership,
            memberId,
            learnerId => this.durablePositionOf(learnerId) >= commitPosition,
            otherId => otherId === memberId ? 0 : this.lease.silenceOf(otherId, now),
        );
        if (change === undefined) {
            return;
        }
        const changedId = change.kind === "addLearner" ? change.member.memberId : change.memberId;
        this.proposeChange(change, placement => {
            if (placement.ok) {
                const fields = { group, change: change.kind, memberId: changedId, position: placement.val };
                this.replica.events.write("membershipChanged", fields);
            }
        });
    }

    private checkChange(change: MembershipChange): Result<EntryContent, Failure> {
        const reason = this.checkNoChangePending() ?? this.checkTarget(change);
        if (reason !== undefined) {
            return Err(failure("membershipChangeRefused", { reason }));
        }
        const changed = changeMembership(this.replica.membership, change);
        return changed.ok ? Ok({ kind: "membership", membership: changed.val }) : changed;
    }

    private checkTarget(change: MembershipChange): string | undefined {
        if (change.kind === "remove" && change.memberId === this.replica.memberId) {
            return "the leader cannot remove itself; hand the lead over first";
        }
        if (change.kind === "promote" && this.durablePositionOf(change.memberId) < this.replica.commitPosition) {
            return "the learner has not caught up";
        }
        return undefined;
    }

    private checkNoChangePending(): string | undefined {
        if (!this.open) {
            return "the leader has not yet committed an entry of its term";
        }
        const pending = this.replica.log.membershipPosition > this.replica.commitPosition || this.changeQueued;
        return pending ? "another change is under way" : undefined;
    }

    private furthestVoter(): string | undefined {
        const { membership, memberId } = this.replica;
        const voters = [...this.links].filter(([id]) => id !== memberId && isVoter(membership, id));
        return voters.sort(([, a], [, b]) => b.matchPosition - a.matchPosition)[0]?.[0];
    }
}
