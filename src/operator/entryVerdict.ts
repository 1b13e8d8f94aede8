import type { EntryState } from "./answerSchemas.js";

/** What one entry would do with a request at this moment. */
export interface EntryVerdict {
    readonly entry: string;
    readonly decision: "admitted" | "queued" | "refused" | "unknown";
    readonly reason: string;
    /** Endpoints of the pool with room, the one with the fewest requests of this entry first. */
    readonly candidates: readonly string[];
}

/**
 * Says what an entry would do with a request for a pool.
 *
 * @param state The entry's own report; undefined where it could not be had.
 */
export function entryVerdict(entry: string, state: EntryState | undefined, pool: string): EntryVerdict {
    if (state === undefined) {
        return { entry, decision: "unknown", reason: "its metrics address could not be reached", candidates: [] };
    }
    if (!state.serves) {
        return { entry, decision: "refused", reason: "it has no confirmed configuration", candidates: [] };
    }
    const report = state.pools.find(candidate => candidate.pool === pool);
    const live = (report?.endpoints ?? []).filter(endpoint => !endpoint.leaving);
    const free = live.filter(endpoint => endpoint.freeSlots > 0);
    const ordered = [...free].sort((left, right) => left.running - right.running);
    const candidates = ordered.map(endpoint => endpoint.name);
    const waiting = report?.waiting ?? 0;
    if (live.length === 0) {
        return { entry, decision: "queued", reason: `pool ${pool} has no live endpoint`, candidates };
    }
    if (free.length === 0) {
        return { entry, decision: "queued", reason: `no endpoint has room; ${waiting} requests wait`, candidates };
    }
    if (waiting > 0) {
        return { entry, decision: "queued", reason: `${waiting} requests wait already`, candidates };
    }
    return { entry, decision: "admitted", reason: `${free.length} of ${live.length} endpoints have room`, candidates };
}
