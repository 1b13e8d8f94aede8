import type { Membership } from "./membership.js";
import { quorumValue } from "./membership.js";

/** What a leader knows when it decides what is committed. */
export interface CommitView {
    /** Term of the leader. */
    readonly term: number;
    readonly membership: Membership;
    /** Position up to which a member made the leader's entries durable. */
    readonly durablePositionOf: (memberId: string) => number;
    /** Term of the entry at a position. */
    readonly termAt: (position: number) => number | undefined;
}

/**
 * The highest position that a leader may commit by counting (Raft §5.4.2).
 *
 * Entries of earlier terms are committed only together with one of the leader's own term: a later leader could still
 * replace them, however many members have them.
 */
export function committablePosition(view: CommitView): number {
    const reached = quorumValue(view.membership, view.durablePositionOf);
    return view.termAt(reached) === view.term ? reached : 0;
}
