import type { Milliseconds } from "../../util/clock.js";
import type { LogTiming } from "./logTiming.js";
import { leaseWait } from "./logTiming.js";
import type { Membership } from "./membership.js";
import { quorumValue } from "./membership.js";

/**
 * The lease of one leader (Raft dissertation §6.4.1).
 *
 * It runs from the moment at which the newest heartbeat was sent that a quorum has answered. The first act waits until
 * every lease and call of an earlier leader has surely ended.
 */
export class LeaderLease {
    private readonly contacts = new Map<string, Milliseconds>();
    private released = false;

    constructor(
        private readonly timing: LogTiming,
        private readonly memberId: string,
        private readonly electedAt: Milliseconds,
    ) {}

    /** Notes that a member answered a message that was sent at a moment. */
    noteAnswer(memberId: string, sentAt: Milliseconds): void {
        this.contacts.set(memberId, Math.max(sentAt, this.contacts.get(memberId) ?? -Infinity));
    }

    /** How long a member has answered nothing, counted at most from the election. */
    silenceOf(memberId: string, now: Milliseconds): Milliseconds {
        return now - Math.max(this.electedAt, this.contacts.get(memberId) ?? -Infinity);
    }

    /** Gives the lease up for good. */
    release(): void {
        this.released = true;
    }

    /** The newest moment such that a quorum has answered messages sent at or after it; itself a member at all times. */
    quorumContact(membership: Membership, now: Milliseconds): Milliseconds {
        return quorumValue(
            membership,
            memberId => memberId === this.memberId ? now : this.contacts.get(memberId) ?? -Infinity,
        );
    }

    /** Whether the leader hears from a quorum, with a grace after its election. */
    hearsQuorum(membership: Membership, now: Milliseconds): boolean {
        const newest = Math.max(this.electedAt, this.quorumContact(membership, now));
        return now - newest <= this.timing.electionTimeoutHighest;
    }

    /** Whether the lease lasts beyond `now + room`, whether or not the leader may act already. */
    holds(membership: Membership, now: Milliseconds, room: Milliseconds): boolean {
        return !this.released && now + room < this.quorumContact(membership, now) + this.timing.leaseDuration;
    }

    /** Whether the leader may start an act at `now` that ends within `room`. */
    permits(membership: Membership, now: Milliseconds, room: Milliseconds): boolean {
        return room <= this.timing.longestCall
            && now >= this.electedAt + leaseWait(this.timing)
            && this.holds(membership, now, room);
    }
}
