import { EnrolmentRush } from "./enrolmentRush.js";

/** Number of entries used by callers of the highest tier. */
const topTierEntryCount = 2;

/** The enrolment rush with the highest tier at two entries only and all lower tiers at the other entries. */
export class OneSidedRush extends EnrolmentRush {
    override readonly name: string = "one-sided-rush";
    override readonly description: string = "The enrolment rush with the highest tier at only two of eight entries.";

    override entryIndexesFor(tier: number): readonly number[] {
        const entries = [...Array(this.entryCount).keys()];
        return tier === 0 ? entries.slice(0, topTierEntryCount) : entries.slice(topTierEntryCount);
    }
}
