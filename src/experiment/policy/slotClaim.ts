import type { RandomSource } from "../../util/randomSource.js";

/** How many times its even part of the free slots an entry may claim, because not every entry has work at once. */
const claimFactor = 2;

/**
 * The slots of an endpoint that an entry may use, among those that a report shows as free.
 *
 * All entries see the same free slots in the same lagging report. If each of them took all, the endpoint would get many
 * times more requests than it has slots, and the most important ones would wait behind the others inside it.
 *
 * @param reportedFree Free slots of the report; negative where requests wait inside the endpoint.
 * @param entries Entries that use the endpoint.
 * @param random Rounds to a whole number such that the mean is kept.
 * @returns A whole number; negative where the entry should leave slots unused that it frees itself.
 */
export function claimSlots(reportedFree: number, entries: number, random: RandomSource): number {
    const part = entries <= claimFactor ? 1 : claimFactor / entries;
    return Math.floor(reportedFree * part + random.float());
}
