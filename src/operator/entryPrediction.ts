import type { EntryState } from "./responseSchemas.js";

/** Predicted decision of one entry about a request that arrives now. */
export interface EntryPrediction {
    readonly entry: string;
    readonly decision: "admitted" | "queued" | "refused" | "unknown";
    readonly reason: string;
    /** Names of the endpoints of the pool that have free slots, in ascending order of load. */
    readonly candidates: readonly string[];
}

/**
 * Predicts what an entry would do with a request for a pool, from the entry's current state.
 *
 * @param state State that the entry reports; undefined if it could not be fetched.
 */
export function predictEntryDecision(entry: string, state: EntryState | undefined, pool: string): EntryPrediction {
    if (state === undefined) {
        return { entry, decision: "unknown", reason: "its metrics address could not be reached", candidates: [] };
    }
    if (!state.serves) {
        return { entry, decision: "refused", reason: "it has no confirmed configuration", candidates: [] };
    }
    const poolState = state.pools.find(candidate => candidate.pool === pool);
    const endpoints = poolState?.endpoints ?? [];
    const free = endpoints.filter(endpoint => endpoint.freeSlots > 0);
    const ordered = [...free].sort((left, right) => left.load - right.load);
    const candidates = ordered.map(endpoint => endpoint.name);
    const waiting = poolState?.waiting ?? 0;
    if (endpoints.length === 0) {
        return { entry, decision: "refused", reason: `pool ${pool} has no endpoint`, candidates };
    }
    if (free.length === 0) {
        const reason = `${describeConditions(endpoints)}; ${waiting} requests wait`;
        return { entry, decision: "queued", reason, candidates };
    }
    if (waiting > 0) {
        return { entry, decision: "queued", reason: `${waiting} requests wait already`, candidates };
    }
    const reason = `${free.length} of ${endpoints.length} endpoints have room`;
    return { entry, decision: "admitted", reason, candidates };
}

/**
 * Counts the endpoints by the condition that prevents them from taking a request, with the fault where one is known.
 */
function describeConditions(endpoints: EntryState["pools"][number]["endpoints"]): string {
    const counts = new Map<string, number>();
    for (const { condition, fault } of endpoints) {
        const text = condition === "sound" ? "full" : `${condition}${fault === undefined ? "" : ` (${fault})`}`;
        counts.set(text, (counts.get(text) ?? 0) + 1);
    }
    return `of ${endpoints.length} endpoints ${[...counts].map(([text, count]) => `${count} ${text}`).join(", ")}`;
}
