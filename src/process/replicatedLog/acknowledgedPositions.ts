/** A position that a member made durable, and the term of the leader that counted on it. */
export interface AcknowledgedPosition {
    readonly term: number;
    readonly position: number;
}

/**
 * The highest positions that members are known to have made durable, by member.
 *
 * Leaders spread them with their heartbeats, so that a member that comes back with an older disk can be told.
 */
export class AcknowledgedPositions {
    private readonly byMember = new Map<string, AcknowledgedPosition>();

    /** Notes what the leader of a term knows. */
    note(term: number, positions: Readonly<Record<string, number>>): void {
        for (const [memberId, position] of Object.entries(positions)) {
            const known = this.byMember.get(memberId);
            if (known === undefined || term > known.term || (term === known.term && position > known.position)) {
                this.byMember.set(memberId, { term, position });
            }
        }
    }

    /** What is known of a member. */
    of(memberId: string): AcknowledgedPosition | undefined {
        return this.byMember.get(memberId);
    }
}

/**
 * Whether a disk is surely older than what its member acknowledged.
 *
 * A member makes its term durable before it acknowledges entries in it, and within one term never drops an entry that
 * it acknowledged. In later terms it may, so that nothing can be told then.
 */
export function isOutdated(term: number, lastPosition: number, acknowledged: AcknowledgedPosition): boolean {
    return term < acknowledged.term || (term === acknowledged.term && lastPosition < acknowledged.position);
}
