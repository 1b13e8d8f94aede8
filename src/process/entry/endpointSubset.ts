import { hashText, mixBits } from "../../request/routing/hashText.js";
import type { ManifestEndpoint } from "../../version/manifest.js";

/** Endpoints of one pool that one entry sends requests to at most. */
export const maximumSubset = 128;

/**
 * The endpoints of a pool that an entry uses: all of a small pool, and of a large one those that rank highest for the
 * entry by rendezvous hashing, so that a change of the pool changes few of them.
 */
export function endpointSubset(
    endpoints: readonly ManifestEndpoint[],
    entry: string,
    maximum: number = maximumSubset,
): readonly ManifestEndpoint[] {
    if (endpoints.length <= maximum) {
        return endpoints;
    }
    const seed = hashText(entry);
    return endpoints
        .map(endpoint => ({ endpoint, rank: mixBits(seed ^ hashText(endpoint.name)) }))
        .sort((left, right) => right.rank - left.rank)
        .slice(0, maximum)
        .map(({ endpoint }) => endpoint);
}

/** Entries that send requests to one endpoint, as expected from the sizes. */
export function expectedSharers(entries: number, poolSize: number, maximum: number = maximumSubset): number {
    const used = poolSize === 0 ? 1 : Math.min(1, maximum / poolSize);
    return Math.max(1, Math.round(entries * used));
}
