import type { Milliseconds } from "../../util/clock.js";

/** Maximum fraction by which a VM's monotonic clock may run slower than another's. */
const maximumClockDriftFraction = 0.01;

/**
 * Permit to serve for a limited time with at least a certain version of the configuration, granted by a quorum of control
 * processes.
 */
export class ServingPermit {
    private expiresAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private minimumVersion = 0;

    /**
     * Records a response to a permit request.
     *
     * @param sentAt When the request was sent, in monotonic milliseconds.
     * @param validMilliseconds Duration of the permit from `sentAt`; shortened by the possible clock drift.
     * @param version Minimum version of the configuration that the entry must have to serve.
     */
    grant(sentAt: Milliseconds, validMilliseconds: Milliseconds, version: number): void {
        this.expiresAt = Math.max(this.expiresAt, sentAt + validMilliseconds * (1 - maximumClockDriftFraction));
        this.minimumVersion = Math.max(this.minimumVersion, version);
    }

    /** Whether the entry may serve now with a version of the configuration. */
    allows(version: number, now: Milliseconds): boolean {
        return now < this.expiresAt && version >= this.minimumVersion && version > 0;
    }
}
