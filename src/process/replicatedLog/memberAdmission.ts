import type { PeerRequestOf } from "../../connection/peerMessage.js";
import type { Membership, MembershipChange } from "./membership.js";
import { findMember } from "./membership.js";

/** A member that asked to be admitted. */
type JoinRequest = PeerRequestOf<"join">;

/**
 * Decides the next step that brings a new member in: remove the lost member whose place it takes, add it as a learner,
 * and promote it once its copy is durable.
 */
export class MemberAdmission {
    private readonly wanted = new Map<string, JoinRequest>();

    /** @param expectedAddresses Addresses that the settings give to control processes. */
    constructor(private readonly expectedAddresses: readonly string[]) {}

    /** Takes a request to join; false when its address is not one that the cluster expects. */
    accept(request: JoinRequest, membership: Membership): boolean {
        const expected = this.expectedAddresses.includes(request.address)
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
     */
    nextChange(
        membership: Membership,
        leaderId: string,
        isCaughtUp: (memberId: string) => boolean,
    ): MembershipChange | undefined {
        const ready = membership.members.find(member => member.role === "learner" && isCaughtUp(member.memberId));
        if (ready !== undefined) {
            return { kind: "promote", memberId: ready.memberId };
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

function admissionStep(membership: Membership, leaderId: string, request: JoinRequest): MembershipChange | undefined {
    const lost = membership.members.find(member => member.address === request.address);
    if (lost === undefined) {
        const { from: memberId, address, operatorAddress } = request;
        return { kind: "addLearner", member: { memberId, address, operatorAddress } };
    }
    return lost.memberId === leaderId ? undefined : { kind: "remove", memberId: lost.memberId };
}
