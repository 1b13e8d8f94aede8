import type { Milliseconds } from "../../../util/clock.js";
import type { SuspensionDetector } from "../../../util/suspensionDetector.js";
import type { LeaseSource } from "../../platform/httpLeasedCaller.js";
import type { FencingToken } from "../../replicatedLog/commandLog.js";

/**
 * Leader lease for calls to a platform that does not reject stale fencing numbers.
 *
 * A new leader waits for the full handover delay before its first call, so that calls of successive leaders are always
 * separated by at least that delay, even when leadership alternates between processes. After a possible suspension of
 * the VM, during which the monotonic clock may have stopped, no token is granted until the renewal time has passed.
 */
export class DutyLease {
    private term: number | undefined;
    private termEnteredAt: Milliseconds = Infinity;

    /**
     * @param handoverDelay Minimum time between the last call of a leader and the first call of its successor.
     * @param renewalTime Time within which heartbeats from a quorum must have renewed the lease.
     */
    constructor(
        private readonly lease: LeaseSource,
        private readonly suspensionDetector: SuspensionDetector,
        private readonly handoverDelay: Milliseconds,
        private readonly renewalTime: Milliseconds,
    ) {}

    /** Starts the handover delay of a term; has no effect if it is already the current term. */
    enterTerm(term: number, now: Milliseconds): void {
        if (term !== this.term) {
            this.term = term;
            this.termEnteredAt = now;
        }
    }

    /**
     * The fencing token of the entered term; undefined during the handover delay, after a suspension, or if the lease
     * may end within the required time.
     */
    token(now: Milliseconds, requiredTime: Milliseconds): FencingToken | undefined {
        if (
            now < this.termEnteredAt + this.handoverDelay
            || this.suspensionDetector.timeSinceSuspension() < this.renewalTime
        ) {
            return undefined;
        }
        const token = this.lease.lease(now, requiredTime);
        return token?.fencingNumber === this.term ? token : undefined;
    }
}
