import { computeManifestDifference } from "./computeManifestDifference.js";
import type { CollectionChange, ManifestChange } from "./configurationChange.js";
import type { Manifest } from "./manifest.js";

/** Collections of a manifest whose items are identified by name. */
type CollectionName = "teams" | "classes" | "routes" | "pools";

/** One value that differs. */
export interface ValueDifference {
    /** Path within the item, such as `target.totalMilliseconds`. */
    readonly path: string;
    /** The value as JSON; undefined if it is absent. */
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/** The difference between two manifests in one item. */
export interface DescribedChange {
    readonly part: CollectionName | "billing";
    /** Name of the item; absent for the billing section. */
    readonly name?: string | undefined;
    readonly kind: "added" | "changed" | "removed";
    /** Differences within a changed item; empty for added and removed items. */
    readonly values: readonly ValueDifference[];
}

/** Lists the differences between two manifests for display to operators. */
export function describeDifference(before: Manifest | undefined, after: Manifest): readonly DescribedChange[] {
    const change = computeManifestDifference(before, after);
    const collections = (["teams", "classes", "routes", "pools"] as const).flatMap(part =>
        describeCollection(part, before?.[part] ?? [], change[part])
    );
    return [...collections, ...describeBilling(before, change)];
}

function describeCollection(
    part: CollectionName,
    before: readonly { readonly name: string; }[],
    change: CollectionChange<{ readonly name: string; }>,
): readonly DescribedChange[] {
    const beforeByName = new Map(before.map(item => [item.name, item]));
    const put = change.put.map((item): DescribedChange => {
        const beforeItem = beforeByName.get(item.name);
        return beforeItem === undefined
            ? { part, name: item.name, kind: "added", values: [] }
            : { part, name: item.name, kind: "changed", values: compareValues(beforeItem, item, "") };
    });
    const removed = change.removed.map((name): DescribedChange => ({ part, name, kind: "removed", values: [] }));
    return [...put, ...removed];
}

function describeBilling(before: Manifest | undefined, change: ManifestChange): readonly DescribedChange[] {
    if (change.billing === undefined) {
        return [];
    }
    return before === undefined
        ? [{ part: "billing", kind: "added", values: [] }]
        : [{ part: "billing", kind: "changed", values: compareValues(before.billing, change.billing, "") }];
}

function compareValues(before: unknown, after: unknown, path: string): readonly ValueDifference[] {
    const beforeJson = JSON.stringify(before) as string | undefined;
    const afterJson = JSON.stringify(after) as string | undefined;
    if (beforeJson === afterJson) {
        return [];
    }
    const beforeMembers = listMembers(before);
    const afterMembers = listMembers(after);
    if (beforeMembers === undefined || afterMembers === undefined) {
        return [{ path, before: beforeJson, after: afterJson }];
    }
    const names = new Set([...beforeMembers.keys(), ...afterMembers.keys()]);
    return [...names].flatMap(name =>
        compareValues(beforeMembers.get(name), afterMembers.get(name), path === "" ? name : `${path}.${name}`)
    );
}

/** The properties of an object, or the items of a list by name; undefined for other values. */
function listMembers(value: unknown): ReadonlyMap<string, unknown> | undefined {
    if (!(value instanceof Object)) {
        return undefined;
    }
    if (!Array.isArray(value)) {
        return new Map(Object.entries(value));
    }
    const items: readonly unknown[] = value;
    return items.length > 0 && items.every(isNamed) ? new Map(items.map(item => [item.name, item])) : undefined;
}

function isNamed(value: unknown): value is { readonly name: string; } {
    return value instanceof Object && "name" in value && typeof value.name === "string";
}
