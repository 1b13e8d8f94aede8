import type { Milliseconds } from "../../util/clock.js";
import type { PoolCapacity } from "../admissionQueue.js";
import type { RemoteLoad } from "./remoteLoad.js";

/**
 * Returns the capacity of a tier at this entry, including what others yield by not starting lower tiers.
 *
 * @param queued Waiting requests of the tier at this entry.
 */
export function capacityForTier(
    capacity: PoolCapacity,
    remoteLoad: RemoteLoad,
    tier: number,
    queued: number,
    now: Milliseconds,
): PoolCapacity {
    const yieldedTokensPerSecond = remoteLoad.yieldedTokensPerSecond(tier, queued, now);
    if (yieldedTokensPerSecond <= 0 || capacity.tokensPerSecond <= 0) {
        return capacity;
    }
    const factor = 1 + yieldedTokensPerSecond / capacity.tokensPerSecond;
    return {
        ...capacity,
        tokensPerSecond: capacity.tokensPerSecond * factor,
        requestsPerSecond: capacity.requestsPerSecond * factor,
    };
}
