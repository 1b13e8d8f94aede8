import type { EntryListing } from "../../connection/entryMessages.js";
import type { RandomSource } from "../../util/randomSource.js";

/** Entries named in one answer at most. */
const maximumListed = 8;

/** Answer to a caller that asks which entries to use, best first. */
export interface DiscoveryAnswer {
    readonly entries: readonly {
        readonly address: string;
        readonly failureDomain: string;
    }[];
    /** How long the answer may be kept, in seconds. */
    readonly timeToLive: number;
}

/** Says which entries callers should use: never a draining one, spread over failure domains and by load. */
export class Discovery {
    private listings: readonly EntryListing[] = [];

    /**
     * @param random Breaks ties, so that callers spread.
     * @param timeToLive How long an answer may be kept, in seconds.
     */
    constructor(private readonly random: RandomSource, private readonly timeToLive: number) {}

    /** Number of entries that the leader listed. */
    get count(): number {
        return this.listings.length;
    }

    /** Takes over the list that the leader sent. */
    update(listings: readonly EntryListing[]): void {
        this.listings = listings;
    }

    /** Entries that serve, this one among them. */
    get servingEntries(): number {
        return Math.max(1, this.listings.filter(listing => !listing.draining).length);
    }

    /** Addresses of other entries, for refusals. */
    alternatives(entry: string): string {
        const others = this.listings.filter(listing => !listing.draining && listing.entry !== entry);
        return others.map(listing => listing.callerAddress).slice(0, maximumListed).join(", ") || "none known";
    }

    /**
     * An ordered list: within a failure domain by weighted chance against load, then the failure domains in turn.
     *
     * @param draining Name of this entry when it drains, which the list from the leader may not say yet.
     */
    answer(draining?: string): DiscoveryAnswer {
        const ranked = this.listings
            .filter(listing => !listing.draining && listing.entry !== draining)
            // Weighted sampling without replacement (P. S. Efraimidis and P. G. Spirakis, 2006).
            .map(listing => ({ listing, rank: this.random.exponential(1) * (1 + listing.load) }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ listing }) => listing);
        const entries = alternateFailureDomains(ranked).slice(0, maximumListed);
        return {
            entries: entries.map(({ callerAddress, failureDomain }) => ({ address: callerAddress, failureDomain })),
            timeToLive: this.timeToLive,
        };
    }
}

function alternateFailureDomains(ranked: readonly EntryListing[]): readonly EntryListing[] {
    const groups = new Map<string, EntryListing[]>();
    for (const listing of ranked) {
        groups.set(listing.failureDomain, [...(groups.get(listing.failureDomain) ?? []), listing]);
    }
    const ordered: EntryListing[] = [];
    for (let round = 0; ordered.length < ranked.length; round++) {
        for (const group of groups.values()) {
            ordered.push(...group.slice(round, round + 1));
        }
    }
    return ordered;
}
