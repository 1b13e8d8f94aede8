import { match } from "ts-pattern";
import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";

/** Schema of {@link Member}. */
export const memberSchema = z.object({
    memberId: z.string().min(1).max(64),
    address: z.string().min(1).max(128),
    operatorAddress: z.string().max(128),
    role: z.enum(["voter", "learner"]),
}).readonly();

/** One control process of a log group. A learner receives the log, but does not vote or count towards a quorum. */
export type Member = z.infer<typeof memberSchema>;

/** Schema of {@link Membership}. */
export const membershipSchema = z.object({ members: z.array(memberSchema).max(32).readonly() }).readonly();

/** The members of a log group, as set by a log entry. */
export type Membership = z.infer<typeof membershipSchema>;

/** A member without its role. */
export type MemberAddress = Omit<Member, "role">;

/**
 * A single-server change; memberships that differ by one such change have overlapping quorums (Raft dissertation §4.1).
 */
export type MembershipChange =
    | { readonly kind: "addLearner"; readonly member: MemberAddress; }
    | { readonly kind: "promote"; readonly memberId: string; }
    | { readonly kind: "remove"; readonly memberId: string; };

/** The membership of a group that has not been formed yet. */
export const emptyMembership: Membership = { members: [] };

/** Finds a member by its identity. */
export function findMember(membership: Membership, memberId: string): Member | undefined {
    return membership.members.find(member => member.memberId === memberId);
}

/** Whether the member with the given identity is a voter. */
export function isVoter(membership: Membership, memberId: string): boolean {
    return findMember(membership, memberId)?.role === "voter";
}

/** The members that vote and count towards a quorum. */
export function votersOf(membership: Membership): readonly Member[] {
    return membership.members.filter(member => member.role === "voter");
}

/** Whether the identities include a majority of the voters. */
export function hasQuorum(membership: Membership, memberIds: ReadonlySet<string>): boolean {
    const voters = votersOf(membership);
    const present = voters.filter(voter => memberIds.has(voter.memberId)).length;
    return voters.length > 0 && present * 2 > voters.length;
}

/** The greatest value that a majority of the voters has reached; -Infinity without voters. */
export function quorumValue(membership: Membership, valueOf: (memberId: string) => number): number {
    const values = votersOf(membership).map(voter => valueOf(voter.memberId)).sort((a, b) => b - a);
    return values[Math.floor(values.length / 2)] ?? -Infinity;
}

/** Applies a single-server change; fails with `membershipChangeRefused` if it is not valid for the membership. */
export function changeMembership(membership: Membership, change: MembershipChange): Result<Membership, Failure> {
    return match(change)
        .with({ kind: "addLearner" }, ({ member }) => addLearner(membership, member))
        .with({ kind: "promote" }, ({ memberId }) => promote(membership, memberId))
        .with({ kind: "remove" }, ({ memberId }) => remove(membership, memberId))
        .exhaustive();
}

function addLearner(membership: Membership, member: MemberAddress): Result<Membership, Failure> {
    const isTaken = membership.members.some(other =>
        other.memberId === member.memberId || other.address === member.address
    );
    if (isTaken) {
        return refuseChange("its identity or address is already a member");
    }
    return Ok({ members: [...membership.members, { ...member, role: "learner" }] });
}

function promote(membership: Membership, memberId: string): Result<Membership, Failure> {
    if (findMember(membership, memberId)?.role !== "learner") {
        return refuseChange("only a learner can be promoted");
    }
    const members = membership.members.map(member =>
        member.memberId === memberId ? { ...member, role: "voter" as const } : member
    );
    return Ok({ members });
}

function remove(membership: Membership, memberId: string): Result<Membership, Failure> {
    const members = membership.members.filter(member => member.memberId !== memberId);
    if (members.length === membership.members.length) {
        return refuseChange("no such member");
    }
    if (votersOf({ members }).length === 0) {
        return refuseChange("no voter would be left");
    }
    return Ok({ members });
}

function refuseChange(reason: string): Result<Membership, Failure> {
    return Err(failure("membershipChangeRefused", { reason }));
}
