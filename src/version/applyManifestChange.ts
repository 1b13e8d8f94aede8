import type { CollectionChange, ManifestChange } from "./configurationChange.js";
import type { Manifest } from "./manifest.js";

interface NamedItem {
    readonly name: string;
}

/**
 * Applies the result of `computeManifestDifference`.
 *
 * @returns The new manifest. Its items may be in a different order than in the submitted text; order is not significant.
 */
export function applyManifestChange(before: Manifest | undefined, number: number, change: ManifestChange): Manifest {
    const billing = change.billing ?? before?.billing;
    if (billing === undefined) {
        throw new Error("The first manifest change must contain the billing section.");
    }
    return {
        number,
        teams: applyCollectionChange(before?.teams, change.teams),
        classes: applyCollectionChange(before?.classes, change.classes),
        routes: applyCollectionChange(before?.routes, change.routes),
        pools: applyCollectionChange(before?.pools, change.pools),
        billing,
    };
}

function applyCollectionChange<Item extends NamedItem>(
    before: readonly Item[] | undefined,
    change: CollectionChange<Item>,
): readonly Item[] {
    if (before !== undefined && change.put.length === 0 && change.removed.length === 0) {
        return before;
    }
    const items = new Map((before ?? []).map(item => [item.name, item]));
    for (const name of change.removed) {
        items.delete(name);
    }
    for (const item of change.put) {
        items.set(item.name, item);
    }
    return [...items.values()];
}
