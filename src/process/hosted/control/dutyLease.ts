import type { Milliseconds } from "../../../util/clock.js";
import type { SuspensionWatch } from "../../../util/suspensionWatch.js";
import type { LeaseSource } from "../../platform/httpLeasedCaller.js";
import type { FencingToken } from "../../replicatedLog/commandLog.js";

/**
 * The leader's lease for acts towards a platform that does not refuse stale fencing numbers.
 *
 * A new holder acts only after a whole turn, so that three holders in alternation are never closer than that. After the
 * VM may have been suspended the lease must be earned anew, because the monotonic clock need not have counted.
 */
export class DutyLease {
    private term: number | undefined;
    private termSeenAt: Milliseconds = Infinity;

    /**
     * @param turn Shortest time between the first act of a holder and the last one of the holder before it.
     * @param renewal Time in which heartbeats of a quorum surely renew the lease.
     */
    constructor(
        private readonly lease: LeaseSource,
        private readonly suspension: SuspensionWatch,
        private readonly turn: Milliseconds,
        private readonly renewal: Milliseconds,
    ) {}

    /** Begins the turn of a term. */
    enterTerm(term: number, now: Milliseconds): void {
        if (term !== this.term) {
            this.term = term;
            this.termSeenAt = now;
        }
    }

    /** See {@link LeaseSource}. */
    token(now: Milliseconds, room: Milliseconds): FencingToken | undefined {
        if (now < this.termSeenAt + this.turn || this.suspension.timeSinceSuspension() < this.renewal) {
            return undefined;
        }
        const token = this.lease.lease(now, room);
        return token?.fencingNumber === this.term ? token : undefined;
    }
}
