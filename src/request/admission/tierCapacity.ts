import type { Milliseconds } from "../../util/clock.js";
import type { PoolCapacityView } from "../admissionQueue.js";
import type { NeighbourPressure } from "./neighbourPressure.js";

/**
 * The capacity that a tier has at this entry once others hold lower tiers back for it.
 *
 * @param queued Requests of the tier that wait here.
 */
export function capacityForTier(
    capacity: PoolCapacityView,
    neighbours: NeighbourPressure,
    tier: number,
    queued: number,
    now: Milliseconds,
): PoolCapacityView {
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
