import type { EntryState } from "./answerSchemas.js";

/** What one entry would do with a request at this moment. */
export interface EntryVerdict {
    readonly entry: string;
    readonly decision: "admitted" | "queued" | "refused" | "unknown";
    readonly reason: string;
    /** Endpoints of the pool with room, the one with the lowest load first. */
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
    const endpoints = report?.endpoints ?? [];
    const free = endpoints.filter(endpoint => endpoint.freeSlots > 0);
    const ordered = [...free].sort((left, right) => left.load - right.load);
    const candidates = ordered.map(endpoint => endpoint.name);
    const waiting = report?.waiting ?? 0;
    if (endpoints.length === 0) {
        return { entry, decision: "refused", reason: `pool ${pool} has no endpoint`, candidates };
    }
    if (free.length === 0) {
        const reason = `${conditionText(endpoints)}; ${waiting} requests wait`;
        return { entry, decision: "queued", reason, candidates };
    }
    if (waiting > 0) {
        return { entry, decision: "queued", reason: `${waiting} requests wait already`, candidates };
    }
    const reason = `${free.length} of ${endpoints.length} endpoints have room`;
    return { entry, decision: "admitted", reason, candidates };
}

/** Why no endpoint has room: how many are full, leave, or are set aside, and for what. */
function conditionText(endpoints: EntryState["pools"][number]["endpoints"]): string {
    const counts = new Map<string, number>();
    for (const { condition, fault } of endpoints) {
        const text = condition === "sound" ? "full" : `${condition}${fault === undefined ? "" : ` (${fault})`}`;
        counts.set(text, (counts.get(text) ?? 0) + 1);
    }
    return `of ${endpoints.length} endpoints ${[...counts].map(([text, count]) => `${count} ${text}`).join(", ")}`;
}
