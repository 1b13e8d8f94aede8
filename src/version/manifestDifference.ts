import { isDeepStrictEqual } from "node:util";
import type { CollectionChange, ManifestChange } from "./configurationChange.js";
import type { Manifest } from "./manifest.js";

interface Named {
    readonly name: string;
}

/** What must change in one manifest (or in none) to give another. */
export function manifestDifference(before: Manifest | undefined, after: Manifest): ManifestChange {
    return {
        teams: collectionDifference(before?.teams, after.teams),
        classes: collectionDifference(before?.classes, after.classes),
        routes: collectionDifference(before?.routes, after.routes),
        pools: collectionDifference(before?.pools, after.pools),
        billing: isDeepStrictEqual(before?.billing, after.billing) ? undefined : after.billing,
    };
}

function collectionDifference<Item extends Named>(
    before: readonly Item[] | undefined,
    after: readonly Item[],
): CollectionChange<Item> {
    const known = new Map((before ?? []).map(item => [item.name, item]));
    const put: Item[] = [];
    for (const item of after) {
        if (!isDeepStrictEqual(known.get(item.name), item)) {
            put.push(item);
        }
        known.delete(item.name);
    }
    return { put, removed: [...known.keys()] };
}
