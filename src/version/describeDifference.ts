import type { CollectionChange, ManifestChange } from "./configurationChange.js";
import type { Manifest } from "./manifest.js";
import { manifestDifference } from "./manifestDifference.js";

/** Collections of a manifest whose items are known by name. */
type CollectionName = "teams" | "classes" | "routes" | "pools";

/** One value that differs. */
export interface ValueDifference {
    /** Path in the notation `target.totalMilliseconds`. */
    readonly path: string;
    /** The value as JSON; undefined where it is absent. */
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/** What differs between two manifests in one item. */
export interface DescribedChange {
    readonly part: CollectionName | "billing";
    /** Name of the item; absent for the billing terms. */
    readonly name?: string | undefined;
    readonly kind: "added" | "changed" | "removed";
    /** What differs within a changed item. */
    readonly values: readonly ValueDifference[];
}

/** Says for people what differs between two manifests. */
export function describeDifference(before: Manifest | undefined, after: Manifest): readonly DescribedChange[] {
    const change = manifestDifference(before, after);
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
    const known = new Map(before.map(item => [item.name, item]));
    const put = change.put.map((item): DescribedChange => {
        const earlier = known.get(item.name);
        return earlier === undefined
            ? { part, name: item.name, kind: "added", values: [] }
            : { part, name: item.name, kind: "changed", values: differences(earlier, item, "") };
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
        : [{ part: "billing", kind: "changed", values: differences(before.billing, change.billing, "") }];
}

function differences(before: unknown, after: unknown, path: string): readonly ValueDifference[] {
    const earlier = JSON.stringify(before) as string | undefined;
    const later = JSON.stringify(after) as string | undefined;
    if (earlier === later) {
        return [];
    }
    const earlierMembers = membersOf(before);
    const laterMembers = membersOf(after);
    if (earlierMembers === undefined || laterMembers === undefined) {
        return [{ path, before: earlier, after: later }];
    }
    const names = new Set([...earlierMembers.keys(), ...laterMembers.keys()]);
    return [...names].flatMap(name =>
        differences(earlierMembers.get(name), laterMembers.get(name), path === "" ? name : `${path}.${name}`)
    );
}

/** The members of an object, or the items of a list by their names; undefined for values without such parts. */
function membersOf(value: unknown): ReadonlyMap<string, unknown> | undefined {
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
