import type { EntryListing } from "../../connection/entryMessages.js";
import type { RandomSource } from "../../util/randomSource.js";

/** Maximum number of entries in one response. */
const maximumEntries = 8;

/** Response to a caller that asks which entries to use, in order of preference. */
export interface DiscoveryResponse {
    readonly entries: readonly {
        readonly address: string;
        readonly failureDomain: string;
    }[];
    /** How long the caller may cache the response, in seconds. */
    readonly timeToLive: number;
}

/** Selects the entries that callers should use: none that drain, balanced by load and over failure domains. */
export class Discovery {
    private listings: readonly EntryListing[] = [];

    /**
     * @param random Randomizes the order, so that callers are spread over the entries.
     * @param timeToLiveSeconds How long callers may cache a response, in seconds.
     */
    constructor(private readonly random: RandomSource, private readonly timeToLiveSeconds: number) {}

    /** Number of entries listed by the leader, including draining ones. */
    get entryCount(): number {
        return this.listings.length;
    }

    /** Replaces the list of entries with the one that the leader sent. */
    update(listings: readonly EntryListing[]): void {
        this.listings = listings;
    }

    /** Number of entries that are not draining; at least 1, for this entry itself. */
    get servingEntryCount(): number {
        return Math.max(1, this.listings.filter(listing => !listing.draining).length);
    }

    /** Returns the comma-separated addresses of other entries, for the error messages of refused requests. */
    alternativeAddresses(entry: string): string {
        const others = this.listings.filter(listing => !listing.draining && listing.entry !== entry);
        return others.map(listing => listing.callerAddress).slice(0, maximumEntries).join(", ") || "none known";
    }

    /**
     * Returns entries in a random order that favours entries with less load, interleaved by failure domain.
     *
     * @param drainingEntry Name of this entry if it is draining, because the leader's list may not show that yet.
     */
    createResponse(drainingEntry?: string): DiscoveryResponse {
        const ranked = this.listings
            .filter(listing => !listing.draining && listing.entry !== drainingEntry)
            // Weighted random sampling without replacement (P. S. Efraimidis and P. G. Spirakis, 2006).
            .map(listing => ({ listing, rank: this.random.exponential(1) * (1 + listing.load) }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ listing }) => listing);
        const entries = interleaveFailureDomains(ranked).slice(0, maximumEntries);
        return {
            entries: entries.map(({ callerAddress, failureDomain }) => ({ address: callerAddress, failureDomain })),
            timeToLive: this.timeToLiveSeconds,
        };
    }
}

function interleaveFailureDomains(ranked: readonly EntryListing[]): readonly EntryListing[] {
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
