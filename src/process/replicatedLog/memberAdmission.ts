import type { PeerRequestOf } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Member, Membership, MembershipChange } from "./membership.js";
import { findMember, votersOf } from "./membership.js";

/** A member's request to join the group. */
type JoinRequest = PeerRequestOf<"join">;

/** Time without contact after which a member counts as unresponsive; allows for the loss of several heartbeats. */
const unresponsiveAfter: Milliseconds = 800;

/**
 * Time without contact after which a voter is removed in favour of a caught-up learner, or because the group would not
 * bear the tolerated losses otherwise; longer than a process restart.
 */
const removeVoterAfter: Milliseconds = 2_500;

/** The same time while the group bears the tolerated losses: the voter may return, and then needs no readmission. */
const removeSpareVoterAfter: Milliseconds = 10_000;

/** Time without contact after which a learner is removed. */
const removeLearnerAfter: Milliseconds = 10_000;

/** The simultaneous losses that a group must bear: the larger of the two numbers. */
export interface ToleratedLosses {
    /** Number of VMs. */
    readonly vms: number;
    /** Fraction of all VMs, such as that of one failure domain; 0 if only single VMs may be lost. */
    readonly fraction: number;
}

/** Time since the last contact with a member. */
type TimeSinceContact = (memberId: string) => Milliseconds;

/**
 * Decides the next membership change that admits a new member: remove the lost member that has the same address, add
 * the new one as a learner, and promote it once its log has caught up durably.
 *
 * If unlisted members are admitted, members join and leave without an operator's action. A caught-up learner then
 * replaces a voter that has become unresponsive, so that the number of voters does not grow with each replacement. A
 * voter that stays unresponsive is also removed without a learner, so that voters which have left for good do not count
 * towards the quorum; but so many voters remain that the group bears the tolerated losses. The responsive voters form a
 * quorum before and after each change.
 */
export class MemberAdmission {
    private readonly pendingRequests = new Map<string, JoinRequest>();

    /**
     * @param expectedAddresses Addresses of all control processes that the settings name.
     * @param admitsUnlisted Whether members that the settings do not name are admitted as well.
     * @param toleratedLosses Undefined if voters are removed only in favour of learners.
     */
    constructor(
        private readonly expectedAddresses: readonly string[],
        private readonly admitsUnlisted = false,
        private readonly toleratedLosses?: ToleratedLosses,
    ) {}

    /** Accepts a request to join; false if its address is not expected. */
    accept(request: JoinRequest, membership: Membership): boolean {
        const isExpected = this.admitsUnlisted
            || this.expectedAddresses.includes(request.address)
            || membership.members.some(member => member.address === request.address);
        if (isExpected) {
            this.pendingRequests.set(request.address, request);
        }
        return isExpected;
    }

    /**
     * The next change to propose, if any.
     *
     * @param isCaughtUp Whether all committed entries are durable on a learner.
     * @param timeSinceContact Time since the last contact with a member, in milliseconds.
     */
    nextChange(
        membership: Membership,
        leaderId: string,
        isCaughtUp: (memberId: string) => boolean,
        timeSinceContact: TimeSinceContact = () => 0,
    ): MembershipChange | undefined {
        const learners = membership.members.filter(member => member.role === "learner");
        const caughtUpLearner = learners.find(({ memberId }) =>
            isCaughtUp(memberId) && timeSinceContact(memberId) < unresponsiveAfter
        );
        if (caughtUpLearner !== undefined) {
            return this.admitsUnlisted
                ? this.replacementChange(membership, caughtUpLearner, timeSinceContact)
                : promotionChange(caughtUpLearner);
        }
        const lostLearner = learners.find(({ memberId }) => timeSinceContact(memberId) > removeLearnerAfter);
        if (this.admitsUnlisted && lostLearner !== undefined) {
            return { kind: "remove", memberId: lostLearner.memberId };
        }
        const departedVoter = this.departedVoter(membership, timeSinceContact);
        if (this.admitsUnlisted && departedVoter !== undefined) {
            return { kind: "remove", memberId: departedVoter.memberId };
        }
        for (const request of this.pendingRequests.values()) {
            if (findMember(membership, request.from) !== undefined) {
                this.pendingRequests.delete(request.address);
                continue;
            }
            return admissionChange(membership, leaderId, request);
        }
        return undefined;
    }

    /**
     * Promotes the learner, after the removal of a lost voter if enough voters remain; waits while a voter is
     * unresponsive but may only be restarting.
     */
    private replacementChange(
        membership: Membership,
        learner: Member,
        timeSinceContact: TimeSinceContact,
    ): MembershipChange | undefined {
        const unresponsiveVoters = votersOf(membership).filter(({ memberId }) =>
            timeSinceContact(memberId) >= unresponsiveAfter
        );
        const lostVoters = unresponsiveVoters.filter(({ memberId }) => timeSinceContact(memberId) > removeVoterAfter);
        const [lostVoter] = lostVoters;
        const isSmallest = this.toleratedLosses !== undefined
            && votersOf(membership).length <= this.smallestSize(membership, this.toleratedLosses);
        if (lostVoter !== undefined && !isSmallest) {
            return { kind: "remove", memberId: lostVoter.memberId };
        }
        return unresponsiveVoters.length === lostVoters.length ? promotionChange(learner) : undefined;
    }

    /** The voter that is to leave the group without a replacement, if any: the one that has been silent for longest. */
    private departedVoter(membership: Membership, timeSinceContact: TimeSinceContact): Member | undefined {
        const { toleratedLosses } = this;
        const voters = votersOf(membership);
        if (toleratedLosses === undefined || voters.length <= this.smallestSize(membership, toleratedLosses)) {
            return undefined;
        }
        const responsiveCount = voters.filter(({ memberId }) => timeSinceContact(memberId) < unresponsiveAfter).length;
        if (responsiveCount < quorumSize(voters.length)) {
            return undefined;
        }
        const bearableLosses = responsiveCount - quorumSize(voters.length);
        const removeAfter = bearableLosses < lossCount(toleratedLosses, voters.length)
            ? removeVoterAfter
            : removeSpareVoterAfter;
        return voters
            .filter(({ memberId }) => timeSinceContact(memberId) > removeAfter)
            .sort((a, b) => timeSinceContact(b.memberId) - timeSinceContact(a.memberId))[0];
    }

    /** Number of voters below which the group would not bear the tolerated losses. */
    private smallestSize(membership: Membership, toleratedLosses: ToleratedLosses): number {
        return 2 * lossCount(toleratedLosses, votersOf(membership).length) + 1;
    }
}

/** Number of voters of a group that are lost with the tolerated losses. */
function lossCount({ vms, fraction }: ToleratedLosses, voterCount: number): number {
    return Math.max(vms, Math.ceil(voterCount * fraction));
}

function quorumSize(voterCount: number): number {
    return Math.floor(voterCount / 2) + 1;
}

function promotionChange(learner: Member): MembershipChange {
    return { kind: "promote", memberId: learner.memberId };
}

function admissionChange(membership: Membership, leaderId: string, request: JoinRequest): MembershipChange | undefined {
    const previousMember = membership.members.find(member => member.address === request.address);
    if (previousMember === undefined) {
        const { from: memberId, address, operatorAddress } = request;
        return { kind: "addLearner", member: { memberId, address, operatorAddress } };
    }
    return previousMember.memberId === leaderId ? undefined : { kind: "remove", memberId: previousMember.memberId };
}
