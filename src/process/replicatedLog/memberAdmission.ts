import type { PeerRequestOf } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Member, Membership, MembershipChange } from "./membership.js";
import { findMember } from "./membership.js";

/** A member's request to join the group. */
type JoinRequest = PeerRequestOf<"join">;

/** Time without contact after which a member counts as unresponsive; allows for the loss of several heartbeats. */
const unresponsiveAfter: Milliseconds = 800;

/** Time without contact after which a caught-up learner replaces a voter; longer than a process restart. */
const removeVoterAfter: Milliseconds = 2_500;

/** Time without contact after which a learner is removed. */
const removeLearnerAfter: Milliseconds = 10_000;

/** Time since the last contact with a member. */
type TimeSinceContact = (memberId: string) => Milliseconds;

/**
 * Decides the next membership change that admits a new member: remove the lost member that has the same address, add
 * the new one as a learner, and promote it once its log has caught up durably.
 *
 * If unlisted members are admitted, members join and leave without an operator's action. A caught-up learner then
 * replaces a voter that has become unresponsive, so that the number of voters does not grow with each replacement. The
 * responsive voters form a quorum before and after each change.
 */
export class MemberAdmission {
    private readonly pendingRequests = new Map<string, JoinRequest>();

    /**
     * @param expectedAddresses Addresses of all control processes that the settings name.
     * @param admitsUnlisted Whether members that the settings do not name are admitted as well.
     */
    constructor(private readonly expectedAddresses: readonly string[], private readonly admitsUnlisted = false) {}

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
                ? replacementChange(membership, caughtUpLearner, timeSinceContact)
                : promotionChange(caughtUpLearner);
        }
        const lostLearner = learners.find(({ memberId }) => timeSinceContact(memberId) > removeLearnerAfter);
        if (this.admitsUnlisted && lostLearner !== undefined) {
            return { kind: "remove", memberId: lostLearner.memberId };
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
}

function promotionChange(learner: Member): MembershipChange {
    return { kind: "promote", memberId: learner.memberId };
}

/**
 * Removes a lost voter before the learner is promoted; waits while a voter is unresponsive but may only be restarting.
 */
function replacementChange(
    membership: Membership,
    learner: Member,
    timeSinceContact: TimeSinceContact,
): MembershipChange | undefined {
    const unresponsiveVoters = membership.members.filter(({ role, memberId }) =>
        role === "voter" && timeSinceContact(memberId) >= unresponsiveAfter
    );
    const lostVoter = unresponsiveVoters.find(({ memberId }) => timeSinceContact(memberId) > removeVoterAfter);
    if (lostVoter !== undefined) {
        return { kind: "remove", memberId: lostVoter.memberId };
    }
    return unresponsiveVoters.length === 0 ? promotionChange(learner) : undefined;
}

function admissionChange(membership: Membership, leaderId: string, request: JoinRequest): MembershipChange | undefined {
    const previousMember = membership.members.find(member => member.address === request.address);
    if (previousMember === undefined) {
        const { from: memberId, address, operatorAddress } = request;
        return { kind: "addLearner", member: { memberId, address, operatorAddress } };
    }
    return previousMember.memberId === leaderId ? undefined : { kind: "remove", memberId: previousMember.memberId };
}
