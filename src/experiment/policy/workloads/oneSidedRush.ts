import { EnrolmentRush } from "./enrolmentRush.js";

/** Entries that the callers of the top tier keep to. */
const topTierEntries = 2;

/** The enrolment rush with callers of the top tier at two entries, while the others see lower tiers alone. */
export class OneSidedRush extends EnrolmentRush {
    override readonly name: string = "one-sided-rush";
    override readonly description: string = "The enrolment rush with the top tier at two of eight entries alone.";

    override entriesOf(tier: number): readonly number[] {
        const entries = [...Array(this.entries).keys()];
        return tier === 0 ? entries.slice(0, topTierEntries) : entries.slice(topTierEntries);
    }
}
