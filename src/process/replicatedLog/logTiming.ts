import type { Milliseconds } from "../../util/clock.js";

/** Spans of time that govern elections and the lease, in milliseconds of the monotonic clock. */
export interface LogTiming {
    /** Time between two heartbeats of the leader. */
    readonly heartbeatInterval: Milliseconds;
    /** How long a lease lasts, counted from the moment at which its heartbeat was sent. */
    readonly leaseDuration: Milliseconds;
    /** Shortest silence of the leader after which a follower seeks votes; also how long voters refuse others. */
    readonly electionTimeoutLowest: Milliseconds;
    /** Longest silence of the leader after which a follower seeks votes. */
    readonly electionTimeoutHighest: Milliseconds;
    /** Longest call to the platform that a leader may make: the largest `room` that a lease grants. */
    readonly longestCall: Milliseconds;
    /** Bound on how much faster one member's clock may run than another's, as a fraction. */
    readonly driftBound: number;
    /** How long a request that waits for a remote disk may stay unanswered. */
    readonly appendTimeout: Milliseconds;
}

/** The timing of members that are at most a few milliseconds apart. */
export const defaultLogTiming: LogTiming = {
    heartbeatInterval: 100,
    leaseDuration: 600,
    electionTimeoutLowest: 700,
    electionTimeoutHighest: 1100,
    longestCall: 1000,
    driftBound: 0.01,
    appendTimeout: 2000,
};

/** A span on one clock that surely covers the given span on any other member's clock. */
export function coverDrift(timing: LogTiming, span: Milliseconds): Milliseconds {
    return span * (1 + timing.driftBound);
}

/** How long after its election a leader waits before its first act: old lease, longest call and drift. */
export function leaseWait(timing: LogTiming): Milliseconds {
    return coverDrift(timing, timing.leaseDuration + timing.longestCall);
}

/** Why the spans cannot work together; undefined when they can. */
export function timingFault(timing: LogTiming): string | undefined {
    if (timing.heartbeatInterval * 2 > timing.leaseDuration) {
        return "leaseDuration must be at least twice heartbeatInterval";
    }
    if (coverDrift(timing, timing.leaseDuration) > timing.electionTimeoutLowest) {
        return "electionTimeoutLowest must cover leaseDuration and driftBound";
    }
    if (timing.electionTimeoutLowest >= timing.electionTimeoutHighest) {
        return "electionTimeoutHighest must exceed electionTimeoutLowest";
    }
    return undefined;
}
