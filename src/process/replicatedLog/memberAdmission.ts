import type { PeerRequestOf } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Member, Membership, MembershipChange } from "./membership.js";
import { findMember } from "./membership.js";

/** A member that asked to be admitted. */
type JoinRequest = PeerRequestOf<"join">;

/** Silence after which a member is no longer taken for present; several heartbeats may be lost meanwhile. */
const presentWithin: Milliseconds = 800;

/** Silence after which a voter is retired in favour of a learner that is ready; longer than a restart of a process. */
const retireVoterAfter: Milliseconds = 2_500;

/** Silence after which a learner is given up. */
const retireLearnerAfter: Milliseconds = 10_000;

/** How long a member has answered nothing, in milliseconds. */
type SilenceOf = (memberId: string) => Milliseconds;

/**
 * Decides the next step that brings a new member in: remove the lost member whose place it takes, add it as a learner,
 * and promote it once its copy is durable.
 *
 * With open admission members come and go unasked. A learner that is ready then takes the place of a voter that has
 * fallen silent, so that the number of voters does not grow with each replacement; the voters that are heard form a
 * quorum before and after each step.
 */
export class MemberAdmission {
    private readonly wanted = new Map<string, JoinRequest>();

    /**
     * @param expectedAddresses Addresses that the settings give to control processes.
     * @param isOpen Whether members that the settings do not name are admitted as well.
     */
    constructor(private readonly expectedAddresses: readonly string[], private readonly isOpen = false) {}

    /** Takes a request to join; false when its address is not one that the cluster expects. */
    accept(request: JoinRequest, membership: Membership): boolean {
        const expected = this.isOpen
            || this.expectedAddresses.includes(request.address)
            || membership.members.some(member => member.address === request.address);
        if (expected) {
            this.wanted.set(request.address, request);
        }
        return expected;
    }

    /**
     * The next change to propose, if any.
     *
     * @param isCaughtUp Whether a learner made everything durable that was committed.
     * @param silenceOf How long a member has answered nothing.
     */
    nextChange(
        membership: Membership,
        leaderId: string,
        isCaughtUp: (memberId: string) => boolean,
        silenceOf: SilenceOf = () => 0,
    ): MembershipChange | undefined {
        const learners = membership.members.filter(member => member.role === "learner");
        const ready = learners.find(({ memberId }) => isCaughtUp(memberId) && silenceOf(memberId) < presentWithin);
        if (ready !== undefined) {
            return this.isOpen ? replacementStep(membership, ready, silenceOf) : promotion(ready);
        }
        const gone = learners.find(({ memberId }) => silenceOf(memberId) > retireLearnerAfter);
        if (this.isOpen && gone !== undefined) {
            return { kind: "remove", memberId: gone.memberId };
        }
        for (const request of this.wanted.values()) {
            if (findMember(membership, request.from) !== undefined) {
                this.wanted.delete(request.address);
                continue;
            }
            return admissionStep(membership, leaderId, request);
        }
        return undefined;
    }
}

function promotion(learner: Member): MembershipChange {
    return { kind: "promote", memberId: learner.memberId };
}

/** Retires a voter that is lost before its successor votes; waits while it is not yet clear whether one is lost. */
function replacementStep(membership: Membership, ready: Member, silenceOf: SilenceOf): MembershipChange | undefined {
    const absent = membership.members.filter(({ role, memberId }) =>
        role === "voter" && silenceOf(memberId) >= presentWithin
    );
    const lost = absent.find(({ memberId }) => silenceOf(memberId) > retireVoterAfter);
    if (lost !== undefined) {
        return { kind: "remove", memberId: lost.memberId };
    }
    return absent.length === 0 ? promotion(ready) : undefined;
}

function admissionStep(membership: Membership, leaderId: string, request: JoinRequest): MembershipChange | undefined {
    const lost = membership.members.find(member => member.address === request.address);
    if (lost === undefined) {
        const { from: memberId, address, operatorAddress } = request;
        return { kind: "addLearner", member: { memberId, address, operatorAddress } };
    }
    return lost.memberId === leaderId ? undefined : { kind: "remove", memberId: lost.memberId };
}
