import type { EntryListing, EntryStatus } from "../../connection/entryMessages.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Incarnation } from "../usage/incarnationTable.js";

/** Longest time for which a permit lets an entry serve, in milliseconds from the sending of its request. */
export const permitMilliseconds = 4000;

/** What the leader knows of one process of an entry. */
export interface EntryRecord {
    readonly entry: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly callerAddress: string;
    readonly metricsAddress: string;
    /** Version that the entry last reported as in force. */
    readonly version: number;
    readonly status: EntryStatus;
    /** When its last permit certainly ends, in monotonic milliseconds. */
    readonly permitEndsAt: Milliseconds;
    readonly connected: boolean;
}

/** The entries that may serve, as the leader of one term sees them. */
export class EntryTable {
    private readonly records = new Map<string, EntryRecord>();
    private readonly drainRequests = new Set<string>();
    private listingNumber = 0;
    private term: number | undefined;
    private earlierPermitsEndAt: Milliseconds = Number.POSITIVE_INFINITY;

    /** Rises whenever a listing changes. */
    get listingVersion(): number {
        return this.listingNumber;
    }

    /** Starts anew when this process leads in a term that the table does not know yet. */
    enterTerm(term: number, now: Milliseconds): void {
        if (term !== this.term) {
            this.term = term;
            this.records.clear();
            this.drainRequests.clear();
            this.earlierPermitsEndAt = now + permitMilliseconds;
            this.listingNumber++;
        }
    }

    /** Whether a permit of an earlier leader may still hold. */
    earlierPermitsMayHold(now: Milliseconds): boolean {
        return now < this.earlierPermitsEndAt;
    }

    /**
     * The entries that may still serve by a permit of an earlier leader and have not reported to this one.
     *
     * @param registered Every registered incarnation; an entry gets no permit before its own is registered.
     */
    unheard(registered: readonly Incarnation[], now: Milliseconds): readonly string[] {
        if (!this.earlierPermitsMayHold(now)) {
            return [];
        }
        const silent = registered.filter(({ entry, incarnation }) => !this.records.has(recordKey(entry, incarnation)));
        return silent.map(({ entry }) => entry);
    }

    /** Every known entry whose permit may still hold. */
    all(now: Milliseconds): readonly EntryRecord[] {
        this.forget(now);
        return [...this.records.values()];
    }

    /** Records what a connected entry tells of itself. */
    report(record: EntryRecord): void {
        const key = recordKey(record.entry, record.incarnation);
        const before = this.records.get(key);
        this.records.set(key, record);
        if (before === undefined || differs(before, record)) {
            this.listingNumber++;
        }
    }

    /** Records that an entry's connection has ended; it may serve until its permit ends. */
    disconnect(entry: string, incarnation: string): void {
        const key = recordKey(entry, incarnation);
        const before = this.records.get(key);
        if (before !== undefined) {
            this.records.set(key, { ...before, connected: false });
            this.listingNumber++;
        }
    }

    /** Asks an entry to stop gracefully; false where no process of that name is connected. */
    requestDrain(entry: string): boolean {
        const connected = [...this.records].filter(([, record]) => record.entry === entry && record.connected);
        connected.forEach(([key]) => this.drainRequests.add(key));
        return connected.length > 0;
    }

    /** Whether this process of an entry was asked to stop. */
    drainRequested(entry: string, incarnation: string): boolean {
        return this.drainRequests.has(recordKey(entry, incarnation));
    }

    /** The connected entries for discovery. */
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

    /** The entries that may still serve with a version older than the given one. */
    behind(version: number, now: Milliseconds): readonly EntryRecord[] {
        return this.all(now).filter(record => record.version < version && record.permitEndsAt > now);
    }

    private forget(now: Milliseconds): void {
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

function differs(before: EntryRecord, after: EntryRecord): boolean {
    return before.connected !== after.connected
        || before.status.draining !== after.status.draining
        || before.callerAddress !== after.callerAddress
        || loadBand(before) !== loadBand(after);
}

/** Coarse load: the power of two at or above it, so that listings change seldom. */
function loadBand(record: EntryRecord): number {
    return Math.ceil(Math.log2(1 + record.status.runningRequests + record.status.waitingRequests));
}
