import type { LogTiming } from "../replicatedLog/logTiming.js";

/**
 * Timing of the replicated log on small VMs.
 *
 * The lease leaves room for a slow call to the platform. Elections start after ten missed heartbeats, since a VM with a
 * part of a core may pause for some hundred milliseconds.
 */
export const hostedLogTiming: LogTiming = {
    heartbeatInterval: 120,
    leaseDuration: 1_100,
    electionTimeoutLowest: 1_200,
    electionTimeoutHighest: 1_800,
    longestCall: 1_000,
    driftBound: 0.01,
    appendTimeout: 2_000,
};
