import { incarnationKey } from "./endpointRecord.js";
import type { EndpointRecord } from "./endpointRecord.js";

/** How a list of endpoints differs from the one before. */
export interface EndpointChanges {
    /** Endpoints that are new, or of which any property has changed. */
    readonly changed: readonly EndpointRecord[];
    /** Incarnation keys of endpoints that are no longer listed. */
    readonly removed: readonly string[];
}

/** Compares two lists of endpoints. */
export function compareEndpoints(
    previous: readonly EndpointRecord[],
    next: readonly EndpointRecord[],
): EndpointChanges {
    const previousTexts = new Map(previous.map(record => [incarnationKey(record), JSON.stringify(record)]));
    const nextKeys = new Set(next.map(incarnationKey));
    return {
        changed: next.filter(record => previousTexts.get(incarnationKey(record)) !== JSON.stringify(record)),
        removed: [...previousTexts.keys()].filter(key => !nextKeys.has(key)),
    };
}

/** Applies changes to a list of endpoints, keyed by incarnation. */
export function applyEndpointChanges(
    previous: ReadonlyMap<string, EndpointRecord>,
    { changed, removed }: EndpointChanges,
): ReadonlyMap<string, EndpointRecord> {
    const next = new Map(previous);
    removed.forEach(key => next.delete(key));
    changed.forEach(record => next.set(incarnationKey(record), record));
    return next;
}

/** The endpoints of a list, keyed by incarnation. */
export function endpointsByIncarnation(records: readonly EndpointRecord[]): ReadonlyMap<string, EndpointRecord> {
    return new Map(records.map(record => [incarnationKey(record), record]));
}
