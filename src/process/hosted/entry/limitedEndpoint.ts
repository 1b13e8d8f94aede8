import type { Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";

/** Target rate of requests of all entries for one endpoint that the leader denies, in requests per second. */
const deniedRequestsPerSecond = 20;

/**
 * Fraction of the rate that all entries together use without a leader; other entries may get grants from a leader
 * meanwhile.
 */
const fractionWithoutLeader = 0.5;

/** Time for which a call that may be sent without a leader can be used. */
const validityWithoutLeader: Milliseconds = 1_000;

/** What an entry knows about one endpoint whose rate is limited. */
export class LimitedEndpoint {
    /** When the next call could be granted, as of the last denial. */
    private grantableAt: Milliseconds = -Infinity;
    /** Additional wait, random so that the requests of all entries are spread. */
    private requestSpread: Milliseconds = 0;
    private nextCallWithoutLeaderAt: Milliseconds | undefined;
    private nextProbeAt: Milliseconds | undefined;
    private grantedAt: Milliseconds | undefined;

    /** @param callsPerSecond Calls per second that all entries together may send. */
    constructor(public callsPerSecond: number, private readonly random: RandomSource) {}

    /** Time until a request for a call with at most the given delay is worthwhile. */
    timeUntilRequest(maximumDelay: Milliseconds, now: Milliseconds): Milliseconds {
        return Math.max(0, this.grantableAt + this.requestSpread - maximumDelay - now);
    }

    /** Time until a call could be granted, as of the last denial. */
    timeUntilGrantable(now: Milliseconds): Milliseconds {
        return Math.max(0, this.grantableAt - now);
    }

    /** Records a denial with the time until a call could be granted. */
    recordDenial(delay: Milliseconds, contenders: number, now: Milliseconds): void {
        this.grantableAt = now + delay;
        this.requestSpread = 2 * this.random.float() * contenders * 1_000 / deniedRequestsPerSecond;
    }

    /** Records when a call was last granted to any entry. */
    recordGrant(grantedAt: Milliseconds): void {
        if (grantedAt > (this.grantedAt ?? -Infinity)) {
            this.grantedAt = grantedAt;
            this.nextProbeAt = undefined;
        }
    }

    /**
     * Takes a call while no leader decides. Each entry may send calls at random times, so that the sum over entries that
     * know nothing of each other keeps to a fraction of the rate.
     */
    takeCallWithoutLeader(entryCount: number, now: Milliseconds): boolean {
        // A control process that has just started may know no entry yet.
        const meanInterval = 1_000 * Math.max(1, entryCount) / (fractionWithoutLeader * this.callsPerSecond);
        this.nextCallWithoutLeaderAt ??= now + this.random.exponential(meanInterval);
        if (this.nextCallWithoutLeaderAt + validityWithoutLeader < now) {
            // Memoryless: what was not used in time has no effect on later calls.
            this.nextCallWithoutLeaderAt = now + this.random.exponential(meanInterval);
        }
        if (this.nextCallWithoutLeaderAt > now) {
            this.recordDenial(this.nextCallWithoutLeaderAt - now, 0, now);
            return false;
        }
        this.nextCallWithoutLeaderAt = now + this.random.exponential(meanInterval);
        return true;
    }

    /** Whether the endpoint got no call from any entry for so long that this entry should send it one. */
    isProbeDue(idleTime: Milliseconds, entryCount: number, now: Milliseconds): boolean {
        const grantedAt = this.grantedAt ?? now;
        this.grantedAt = grantedAt;
        const spread = (): Milliseconds => 2 * this.random.float() * entryCount * 1_000 / deniedRequestsPerSecond;
        this.nextProbeAt ??= grantedAt + idleTime + spread();
        if (now < this.nextProbeAt) {
            return false;
        }
        this.nextProbeAt = now + idleTime + spread();
        return true;
    }
}
