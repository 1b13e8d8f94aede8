import type { Milliseconds } from "../../../util/clock.js";
import { incarnationKey } from "../endpointRecord.js";
import type { EndpointRecord } from "../endpointRecord.js";

/**
 * Maximum time between two readings of which the earlier one tells what the later one lacks by chance: after a longer
 * time, in which other processes may have read the list, it only tells what is gone.
 */
const maximumInterval: Milliseconds = 2_000;

/**
 * Makes lists out of readings in pages.
 *
 * The pages of one reading are of several moments. When a row before it comes or goes, a row may move over the boundary
 * of two pages, and is in none of them, or in both with different states.
 */
export class PagedReadings {
    private previous: ReadonlyMap<string, EndpointRecord> = new Map();
    private previousReadAt: Milliseconds = -Infinity;
    /** Keys of the endpoints that only the newest reading lacked. */
    private missingOnce: ReadonlySet<string> = new Set();

    /**
     * Adds a reading; returns its endpoints and, if it had several pages, those that only this reading lacks.
     *
     * @param rows The rows of all pages, in the order of reading.
     * @param readAt When the reading began, by the suspension detector's time.
     */
    add(rows: readonly EndpointRecord[], pageCount: number, readAt: Milliseconds): readonly EndpointRecord[] {
        const read = mergeRows(rows);
        const isSuccessive = readAt - this.previousReadAt <= maximumInterval;
        const missing = pageCount > 1 && isSuccessive ? [...this.previous].filter(([key]) => !read.has(key)) : [];
        const kept = missing.filter(([key]) => !this.missingOnce.has(key));
        this.missingOnce = new Set(kept.map(([key]) => key));
        this.previous = new Map([...read, ...kept]);
        this.previousReadAt = readAt;
        return [...this.previous.values()];
    }
}

/** The endpoints of a reading, by incarnation; one leaves if any of its rows says so. */
function mergeRows(rows: readonly EndpointRecord[]): ReadonlyMap<string, EndpointRecord> {
    const merged = new Map<string, EndpointRecord>();
    for (const row of rows) {
        const key = incarnationKey(row);
        merged.set(key, { ...row, isLeaving: row.isLeaving || merged.get(key)?.isLeaving === true });
    }
    return merged;
}
