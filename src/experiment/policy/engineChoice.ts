import type { RandomSource } from "../../util/randomSource.js";
import type { SimulatedEndpoint } from "./simulatedEndpoint.js";

/**
 * Chooses the engine with more free slots of two that are drawn at random.
 *
 * "The Power of Two Choices in Randomized Load Balancing" (Mitzenmacher, 2001): entries that act on the same stale
 * reports do not all choose the same engine. Experiments of admission use this choice for every policy.
 */
export function chooseEngine(
    candidates: readonly SimulatedEndpoint[],
    random: RandomSource,
): SimulatedEndpoint | undefined {
    const one = candidates[random.integer(0, candidates.length - 1)];
    const other = candidates[random.integer(0, candidates.length - 1)];
    return one !== undefined && other !== undefined && other.freeSlots > one.freeSlots ? other : one;
}
