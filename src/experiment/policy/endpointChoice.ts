import type { RandomSource } from "../../util/randomSource.js";
import type { SimulatedEndpoint } from "./simulatedEndpoint.js";

/**
 * Chooses the endpoint with more free slots out of two random candidates; returns undefined without candidates.
 *
 * With "The Power of Two Choices in Randomized Load Balancing" (Mitzenmacher, 2001), entries that rely on the same stale
 * reports do not all choose the same endpoint. The admission experiments use this choice for every policy.
 */
export function chooseEndpoint(
    candidates: readonly SimulatedEndpoint[],
    random: RandomSource,
): SimulatedEndpoint | undefined {
    const first = candidates[random.integer(0, candidates.length - 1)];
    const second = candidates[random.integer(0, candidates.length - 1)];
    return first !== undefined && second !== undefined && second.freeSlots > first.freeSlots ? second : first;
}
