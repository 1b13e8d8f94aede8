import type { Milliseconds } from "../../util/clock.js";
import type { LogTiming } from "./logTiming.js";
import { firstCallDelay } from "./logTiming.js";
import type { Membership } from "./membership.js";
import { quorumValue } from "./membership.js";

/**
 * The lease of one leader (Raft dissertation §6.4.1).
 *
 * The lease starts when the latest message that a quorum has responded to was sent. The first call to the platform
 * waits until every lease and every call of an earlier leader is certain to have ended.
 */
export class LeaderLease {
    private readonly lastContacts = new Map<string, Milliseconds>();
    private released = false;

    constructor(
        private readonly timing: LogTiming,
        private readonly memberId: string,
        private readonly electedAt: Milliseconds,
    ) {}

    /** Records that a member responded to a message that was sent at `sentAt`. */
    recordContact(memberId: string, sentAt: Milliseconds): void {
        this.lastContacts.set(memberId, Math.max(sentAt, this.lastContacts.get(memberId) ?? -Infinity));
    }

    /** Time since the latest message that a member responded to was sent, or since the election if that was later. */
    timeSinceContact(memberId: string, now: Milliseconds): Milliseconds {
        return now - Math.max(this.electedAt, this.lastContacts.get(memberId) ?? -Infinity);
    }

    /** Releases the lease; it cannot be obtained again. */
    release(): void {
        this.released = true;
    }

    /**
     * The latest time such that a quorum has responded to messages sent at or after it; the leader itself counts as
     * `now`.
     */
    quorumContact(membership: Membership, now: Milliseconds): Milliseconds {
        return quorumValue(
            membership,
            memberId => memberId === this.memberId ? now : this.lastContacts.get(memberId) ?? -Infinity,
        );
    }

    /** Whether a quorum has responded within the maximum election timeout, or the election was that recent. */
    hasRecentQuorumContact(membership: Membership, now: Milliseconds): boolean {
        const latestContact = Math.max(this.electedAt, this.quorumContact(membership, now));
        return now - latestContact <= this.timing.maximumElectionTimeout;
    }

    /** Whether the lease lasts beyond `now + callDuration`, whether or not a first call is permitted yet. */
    holds(membership: Membership, now: Milliseconds, callDuration: Milliseconds): boolean {
        return !this.released && now + callDuration < this.quorumContact(membership, now) + this.timing.leaseDuration;
    }

    /** Whether the leader may start a call to the platform at `now` that ends within `callDuration`. */
    permitsCall(membership: Membership, now: Milliseconds, callDuration: Milliseconds): boolean {
        return callDuration <= this.timing.maximumCallDuration
            && now >= this.electedAt + firstCallDelay(this.timing)
            && this.holds(membership, now, callDuration);
    }
}
