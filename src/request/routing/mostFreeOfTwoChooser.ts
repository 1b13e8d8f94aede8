import type { EndpointState } from "../../process/entry/endpointState.js";
import type { RandomSource } from "../../util/randomSource.js";
import { EndpointChooser } from "../endpointChooser.js";

/**
 * Chooses the endpoint with more free slots of two that are drawn at random.
 *
 * "The Power of Two Choices in Randomized Load Balancing" (Mitzenmacher, 2001): entries that act on the same stale
 * reports do not all choose the same endpoint.
 */
export class MostFreeOfTwoChooser extends EndpointChooser {
    /** @param random Draws the two. */
    constructor(private readonly random: RandomSource) {
        super();
    }

    override choose(candidates: readonly EndpointState[]): EndpointState | undefined {
        const one = candidates[this.random.integer(0, candidates.length - 1)];
        const other = candidates[this.random.integer(0, candidates.length - 1)];
        return one !== undefined && other !== undefined && other.freeSlots > one.freeSlots ? other : one;
    }
}
