import type { Membership } from "./membership.js";
import { quorumValue } from "./membership.js";

/** The inputs from which a leader computes the commit position. */
export interface CommitContext {
    /** Term of the leader. */
    readonly term: number;
    readonly membership: Membership;
    /** Position up to which a member's log is durable and matches the leader's. */
    readonly durablePositionOf: (memberId: string) => number;
    /** Term of the entry at a position. */
    readonly termAt: (position: number) => number | undefined;
}

/**
 * The highest position that a leader may commit by counting replicas (Raft §5.4.2); 0 when there is none.
 *
 * Entries of earlier terms are committed only together with an entry of the leader's own term: until then a later
 * leader could still overwrite them, even if a majority stores them.
 */
export function committablePosition(context: CommitContext): number {
    const quorumPosition = quorumValue(context.membership, context.durablePositionOf);
    return context.termAt(quorumPosition) === context.term ? quorumPosition : 0;
}
