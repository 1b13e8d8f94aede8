import type { Milliseconds } from "../../util/clock.js";

/** Most by which a VM's monotonic clock may run slow against another's, as a fraction. */
const clockDriftFraction = 0.01;

/** The quorum's permission to serve for a while with a version of the configuration. */
export class ServingPermit {
    private endsAt: Milliseconds = Number.NEGATIVE_INFINITY;
    private requiredVersion = 0;

    /**
     * Records an answer to a permit request.
     *
     * @param sentAt When the request was sent, in monotonic milliseconds.
     * @param validMilliseconds Length of the permit, counted from then.
     * @param version Lowest version with which the entry may serve.
     */
    grant(sentAt: Milliseconds, validMilliseconds: Milliseconds, version: number): void {
        this.endsAt = Math.max(this.endsAt, sentAt + validMilliseconds * (1 - clockDriftFraction));
        this.requiredVersion = Math.max(this.requiredVersion, version);
    }

    /** Whether the entry may serve now with a version. */
    holds(version: number, now: Milliseconds): boolean {
        return now < this.endsAt && version >= this.requiredVersion && version > 0;
    }
}
