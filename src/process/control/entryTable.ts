import type { EntryListing, EntryStatus } from "../../connection/entryMessages.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Incarnation } from "../usage/incarnationTable.js";

/** Lifetime of a permit, in milliseconds from the time at which the entry sends its request. */
export const permitMilliseconds = 4000;

/** State of one process of an entry, as known to the leader. */
export interface EntryRecord {
    readonly entry: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly metricsAddress: string;
    /** Configuration version that the entry last reported as in force. */
    readonly version: number;
    readonly status: EntryStatus;
    /** Latest time at which its last permit ends, in monotonic milliseconds. */
    readonly permitEndsAt: Milliseconds;
    readonly connected: boolean;
}

/** The entries that may serve, as known to the leader of one term. */
export class EntryTable {
    private readonly records = new Map<string, EntryRecord>();
    private readonly drainRequests = new Set<string>();
    private currentListingVersion = 0;
    private term: number | undefined;
    /** Latest time at which a permit of an earlier leader ends, in monotonic milliseconds. */
    private earlierPermitsEndAt: Milliseconds = Number.POSITIVE_INFINITY;

    /** Number that increases whenever {@link listings} changes; small changes of the load do not count. */
    get listingVersion(): number {
        return this.currentListingVersion;
    }

    /** Clears the table when this process leads in a new term. */
    enterTerm(term: number, now: Milliseconds): void {
        if (term !== this.term) {
            this.term = term;
            this.records.clear();
            this.drainRequests.clear();
            this.earlierPermitsEndAt = now + permitMilliseconds;
            this.currentListingVersion++;
        }
    }

    /** Whether a permit of an earlier leader may still be valid. */
    earlierPermitsMayBeValid(now: Milliseconds): boolean {
        return now < this.earlierPermitsEndAt;
    }

    /**
     * Returns the names of the entries that may still serve under a permit of an earlier leader and have not reported to
     * this one.
     *
     * @param registered All registered incarnations; an entry receives no permit before its incarnation is registered.
     */
    unreportedEntries(registered: readonly Incarnation[], now: Milliseconds): readonly string[] {
        if (!this.earlierPermitsMayBeValid(now)) {
            return [];
        }
        const unreported = registered.filter(({ entry, incarnation }) =>
            !this.records.has(recordKey(entry, incarnation))
        );
        return unreported.map(({ entry }) => entry);
    }

    /** Returns all known entries that are connected or whose permit may still be valid. */
    all(now: Milliseconds): readonly EntryRecord[] {
        this.removeExpired(now);
        return [...this.records.values()];
    }

    /** Stores the state that a connected entry reports. */
    report(record: EntryRecord): void {
        const key = recordKey(record.entry, record.incarnation);
        const previous = this.records.get(key);
        this.records.set(key, record);
        if (previous === undefined || changesListing(previous, record)) {
            this.currentListingVersion++;
        }
    }

    /** Marks an entry as disconnected; it may serve until its permit ends. */
    disconnect(entry: string, incarnation: string): void {
        const key = recordKey(entry, incarnation);
        const previous = this.records.get(key);
        if (previous !== undefined) {
            this.records.set(key, { ...previous, connected: false });
            this.currentListingVersion++;
        }
    }

    /** Marks the connected processes of an entry to be drained; returns false if none is connected. */
    requestDrain(entry: string): boolean {
        const connected = [...this.records].filter(([, record]) => record.entry === entry && record.connected);
        connected.forEach(([key]) => this.drainRequests.add(key));
        return connected.length > 0;
    }

    /** Whether {@link requestDrain} has marked this process of an entry. */
    drainRequested(entry: string, incarnation: string): boolean {
        return this.drainRequests.has(recordKey(entry, incarnation));
    }

    /** Returns the connected entries for discovery. */
    listings(): readonly EntryListing[] {
        const connected = [...this.records.values()].filter(record => record.connected);
        return connected.map(record => ({
            entry: record.entry,
            callerAddress: record.callerAddress,
            failureDomain: record.failureDomain,
            draining: record.status.draining,
            load: record.status.runningRequests + record.status.waitingRequests,
        }));
    }

    /** Returns the entries that may still serve a version older than the given one. */
    entriesBehind(version: number, now: Milliseconds): readonly EntryRecord[] {
        return this.all(now).filter(record => record.version < version && record.permitEndsAt > now);
    }

    private removeExpired(now: Milliseconds): void {
        for (const [key, record] of this.records) {
            if (!record.connected && record.permitEndsAt <= now) {
                this.records.delete(key);
                this.drainRequests.delete(key);
            }
        }
    }
}

function recordKey(entry: string, incarnation: string): string {
    return `${entry}/${incarnation}`;
}

function changesListing(before: EntryRecord, after: EntryRecord): boolean {
    return before.connected !== after.connected
        || before.status.draining !== after.status.draining
        || before.callerAddress !== after.callerAddress
        || loadBand(before) !== loadBand(after);
}

/** Returns the load on a logarithmic scale to base 2, rounded up, so that small changes do not change the listing. */
function loadBand(record: EntryRecord): number {
    return Math.ceil(Math.log2(1 + record.status.runningRequests + record.status.waitingRequests));
}
