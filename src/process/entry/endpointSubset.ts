import { hashText, mixBits } from "../../request/routing/hashText.js";
import type { ManifestEndpoint } from "../../version/manifest.js";

/** Maximum number of endpoints of one pool that an entry sends requests to. */
export const maximumSubsetSize = 128;

/**
 * Selects the endpoints of a pool that an entry uses: all of a small pool, or a subset of a large one.
 *
 * The subset is chosen by rendezvous hashing, so that a change of the pool changes few of its members.
 */
export function selectEndpointSubset(
    endpoints: readonly ManifestEndpoint[],
    entry: string,
    maximum: number = maximumSubsetSize,
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

/** Expected number of entries that send requests to one endpoint, given the number of entries and the pool size. */
export function expectedEntriesPerEndpoint(
    entries: number,
    poolSize: number,
    maximum: number = maximumSubsetSize,
): number {
    const usedFraction = poolSize === 0 ? 1 : Math.min(1, maximum / poolSize);
    return Math.max(1, Math.round(entries * usedFraction));
}
