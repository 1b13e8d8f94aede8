import type { Milliseconds } from "../../util/clock.js";
import type { PoolCapacity } from "../admissionQueue.js";
import type { NeighbourPressure } from "./remoteLoad.js";

/**
 * The capacity that a tier has at this entry once others hold lower tiers back for it.
 *
 * @param queued Requests of the tier that wait here.
 */
export function capacityForTier(
    capacity: PoolCapacity,
    neighbours: NeighbourPressure,
    tier: number,
    queued: number,
    now: Milliseconds,
): PoolCapacity {
    const yielded = neighbours.yieldedTokens(tier, queued, now);
    if (yielded <= 0 || capacity.tokensPerSecond <= 0) {
        return capacity;
    }
    const factor = 1 + yielded / capacity.tokensPerSecond;
    return {
        ...capacity,
        tokensPerSecond: capacity.tokensPerSecond * factor,
        requestsPerSecond: capacity.requestsPerSecond * factor,
    };
}
