/** A position up to which a member's log is durable, and the term of the leader that recorded it. */
export interface AcknowledgedPosition {
    readonly term: number;
    readonly position: number;
}

/**
 * The highest durable log position known for each member.
 *
 * Leaders distribute these positions in heartbeats, so that a member that restarts with an older copy of its disk can
 * be detected.
 */
export class AcknowledgedPositions {
    private readonly byMember = new Map<string, AcknowledgedPosition>();

    /** Records the durable positions that the leader of a term reports, by member identity. */
    record(term: number, positions: Readonly<Record<string, number>>): void {
        for (const [memberId, position] of Object.entries(positions)) {
            const current = this.byMember.get(memberId);
            if (
                current === undefined || term > current.term || (term === current.term && position > current.position)
            ) {
                this.byMember.set(memberId, { term, position });
            }
        }
    }

    /** The latest position recorded for a member; undefined when there is none. */
    get(memberId: string): AcknowledgedPosition | undefined {
        return this.byMember.get(memberId);
    }
}

/**
 * Whether the member's stored log is provably older than a position that the member acknowledged.
 *
 * A member makes its term durable before it acknowledges entries in that term, and never drops an acknowledged entry
 * within the same term. It may drop entries in a later term, so a higher stored term proves nothing.
 */
export function isOutdated(term: number, lastPosition: number, acknowledged: AcknowledgedPosition): boolean {
    return term < acknowledged.term || (term === acknowledged.term && lastPosition < acknowledged.position);
}
