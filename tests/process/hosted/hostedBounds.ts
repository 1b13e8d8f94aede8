import type { HostedBounds } from "../../../src/process/hosted/hostedSettings.js";

/** Bounds of installations under test. */
export const testBounds: HostedBounds = {
    keyWithdrawal: 5_000,
    shutdown: 8_000,
    dutyHandoverDelay: 3_000,
    usageWindow: 5_000,
    retryWindow: 10_000,
    retryFraction: 0.2,
    retryReserve: 40,
    resolutionTimeToLive: 5_000,
};
