import type { RandomSource } from "../../util/randomSource.js";

/** Multiple of its equal share of the free slots that an entry may claim, because not all entries are busy at once. */
const overclaimFactor = 2;

/**
 * Returns the number of reported free slots of an endpoint that one entry may use.
 *
 * All entries receive the same stale report. If each used all free slots, the endpoint would receive many times more
 * requests than it has slots, and requests of the highest tiers would queue behind others in the endpoint.
 *
 * @param reportedFreeSlots Number of free slots in the report; negative if requests wait in the endpoint.
 * @param entryCount Number of entries that use the endpoint.
 * @param random Provides stochastic rounding to an integer, which preserves the mean.
 * @returns An integer; negative if the entry should leave that many slots unused that its own requests free.
 */
export function claimSlots(reportedFreeSlots: number, entryCount: number, random: RandomSource): number {
    const fraction = entryCount <= overclaimFactor ? 1 : overclaimFactor / entryCount;
    return Math.floor(reportedFreeSlots * fraction + random.float());
}
