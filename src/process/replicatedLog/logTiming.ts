import type { Milliseconds } from "../../util/clock.js";

/** Timeouts and intervals of elections and the lease, in milliseconds of the monotonic clock. */
export interface LogTiming {
    /** Interval between two heartbeats of the leader. */
    readonly heartbeatInterval: Milliseconds;
    /** Duration of a lease, measured from when its heartbeat was sent. */
    readonly leaseDuration: Milliseconds;
    /**
     * Minimum time without leader contact before a follower starts an election; also how long voters refuse candidates.
     */
    readonly minimumElectionTimeout: Milliseconds;
    /** Maximum time without leader contact before a follower starts an election. */
    readonly maximumElectionTimeout: Milliseconds;
    /** Maximum duration of a leader's call to the platform: the largest `callDuration` that a lease permits. */
    readonly maximumCallDuration: Milliseconds;
    /** Maximum ratio by which one member's clock may run faster than another's; 0.01 is 1%. */
    readonly maximumClockDriftRatio: number;
    /** Timeout of a request whose response waits for the disk of the peer. */
    readonly appendTimeout: Milliseconds;
}

/** The default timing, for members with a network latency of at most a few milliseconds. */
export const defaultLogTiming: LogTiming = {
    heartbeatInterval: 100,
    leaseDuration: 600,
    minimumElectionTimeout: 700,
    maximumElectionTimeout: 1100,
    maximumCallDuration: 1000,
    maximumClockDriftRatio: 0.01,
    appendTimeout: 2000,
};

/** Extends a duration so that, on any member's clock, it covers the given duration on any other member's clock. */
export function withClockDrift(timing: LogTiming, duration: Milliseconds): Milliseconds {
    return duration * (1 + timing.maximumClockDriftRatio);
}

/** Delay from its election to a leader's first call: covers an earlier leader's lease and longest call, with drift. */
export function firstCallDelay(timing: LogTiming): Milliseconds {
    return withClockDrift(timing, timing.leaseDuration + timing.maximumCallDuration);
}

/** Describes an inconsistency between the durations; undefined when there is none. */
export function invalidTimingReason(timing: LogTiming): string | undefined {
    if (timing.heartbeatInterval * 2 > timing.leaseDuration) {
        return "leaseDuration must be at least twice heartbeatInterval";
    }
    if (withClockDrift(timing, timing.leaseDuration) > timing.minimumElectionTimeout) {
        return "minimumElectionTimeout must cover leaseDuration and maximumClockDriftRatio";
    }
    if (timing.minimumElectionTimeout >= timing.maximumElectionTimeout) {
        return "maximumElectionTimeout must exceed minimumElectionTimeout";
    }
    return undefined;
}
