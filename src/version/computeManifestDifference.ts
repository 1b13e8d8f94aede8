import { isDeepStrictEqual } from "node:util";
import type { CollectionChange, ManifestChange } from "./configurationChange.js";
import type { Manifest } from "./manifest.js";

interface NamedItem {
    readonly name: string;
}

/** Computes the change that turns one manifest into another; if there is none before, the change adds everything. */
export function computeManifestDifference(before: Manifest | undefined, after: Manifest): ManifestChange {
    return {
        teams: computeCollectionChange(before?.teams, after.teams),
        classes: computeCollectionChange(before?.classes, after.classes),
        routes: computeCollectionChange(before?.routes, after.routes),
        pools: computeCollectionChange(before?.pools, after.pools),
        billing: isDeepStrictEqual(before?.billing, after.billing) ? undefined : after.billing,
    };
}

function computeCollectionChange<Item extends NamedItem>(
    before: readonly Item[] | undefined,
    after: readonly Item[],
): CollectionChange<Item> {
    const beforeByName = new Map((before ?? []).map(item => [item.name, item]));
    const put: Item[] = [];
    for (const item of after) {
        if (!isDeepStrictEqual(beforeByName.get(item.name), item)) {
            put.push(item);
        }
        beforeByName.delete(item.name);
    }
    return { put, removed: [...beforeByName.keys()] };
}
