import type { JSONPath } from "jsonc-parser";
import { failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { JsonDocument } from "../settings/jsonDocument.js";
import { extractManifestOutline } from "./manifestOutline.js";
import type { ManifestOutline } from "./manifestOutline.js";

/**
 * Checks that every name in a manifest is defined once and that every name it refers to is defined.
 *
 * Also checks documents that violate the schema, so that all failures are reported at once.
 */
export function checkManifestReferences(document: JsonDocument): readonly Failure[] {
    return new ReferenceChecker(document, extractManifestOutline(document.value)).check();
}

/** A name and its path in the document. */
interface NameAtPath {
    readonly name: string | undefined;
    readonly path: JSONPath;
}

class ReferenceChecker {
    private readonly failures: Failure[] = [];
    private readonly teams: ReadonlySet<string | undefined>;
    private readonly classes: ReadonlySet<string | undefined>;
    private readonly pools: ReadonlyMap<string | undefined, ManifestOutline["pools"][number]>;

    constructor(private readonly document: JsonDocument, private readonly outline: ManifestOutline) {
        this.teams = new Set(outline.teams.map(team => team.name));
        this.classes = new Set(outline.classes.map(requestClass => requestClass.name));
        this.pools = new Map(outline.pools.map(pool => [pool.name, pool]));
    }

    check(): readonly Failure[] {
        this.checkNames();
        this.outline.routes.forEach((route, index) => {
            this.checkRoute(route, ["routes", index]);
        });
        this.checkCapacity();
        this.outline.billing.prices.forEach(({ requestClass }, index) => {
            this.checkClassReference(requestClass, ["billing", "prices", index, "requestClass"]);
        });
        return this.failures;
    }

    private checkNames(): void {
        const { teams, pools } = this.outline;
        for (const collection of ["teams", "classes", "routes", "pools"] as const) {
            const items: readonly { readonly name?: string | undefined; }[] = this.outline[collection];
            this.checkUnique(items.map(({ name }, index) => ({ name, path: [collection, index, "name"] })));
        }
        const keys = teams.map((team, teamIndex) =>
            team.keys.map((key, index) => ({ ...key, path: ["teams", teamIndex, "keys", index] }))
        );
        this.checkUnique(keys.flat().map(({ digest, path }) => ({ name: digest, path: [...path, "digest"] })));
        keys.forEach(teamKeys => {
            this.checkUnique(teamKeys.map(({ name, path }) => ({ name, path: [...path, "name"] })));
        });
        this.checkUnique(
            pools.flatMap((pool, poolIndex) =>
                pool.endpoints.map(({ name }, index) => ({
                    name,
                    path: ["pools", poolIndex, "endpoints", index, "name"],
                }))
            ),
        );
    }

    private checkUnique(names: readonly NameAtPath[]): void {
        const seen = new Set<string>();
        for (const { name, path } of names) {
            if (name !== undefined && seen.has(name)) {
                this.failures.push(failure("manifestDuplicate", { ...this.document.locationOf(path), name }));
            }
            seen.add(name ?? "");
        }
    }

    private checkRoute(route: ManifestOutline["routes"][number], path: JSONPath): void {
        const pool = this.pools.get(route.pool);
        this.checkReference(pool !== undefined, route.pool, [...path, "pool"]);
        this.checkClassReference(route.requestClass, [...path, "requestClass"]);
        route.classes.forEach((name, position) => {
            this.checkClassReference(name, [...path, "classes", position]);
        });
        route.teams.forEach((name, position) => {
            this.checkReference(this.teams.has(name), name, [...path, "teams", position]);
        });
        if (pool?.kind !== undefined && route.kind !== undefined && pool.kind !== route.kind) {
            this.addInvalidValue(
                [...path, "kind"],
                `must be the kind of pool ${pool.name ?? "?"}, which is ${pool.kind}`,
            );
        }
        if (route.kind === "service" && route.pathPrefix === undefined) {
            this.addInvalidValue(path, "a service route needs pathPrefix");
        }
        if (route.kind === "model" && route.model === undefined) {
            this.addInvalidValue(path, "a model route needs model");
        }
    }

    private checkCapacity(): void {
        this.outline.pools.forEach(({ capacity }, index) => {
            const { minimumReplicas = 0, maximumReplicas = Infinity } = capacity;
            if (minimumReplicas > maximumReplicas) {
                this.addInvalidValue(
                    ["pools", index, "capacity", "minimumReplicas"],
                    "must not exceed maximumReplicas",
                );
            }
        });
    }

    private checkClassReference(name: string | undefined, path: JSONPath): void {
        this.checkReference(this.classes.has(name), name, path);
    }

    /** Adds a failure if the name is not defined. A name that is not a string is reported by the schema validation. */
    private checkReference(defined: boolean, name: string | undefined, path: JSONPath): void {
        if (!defined && name !== undefined) {
            this.failures.push(failure("manifestReference", { ...this.document.locationOf(path), name }));
        }
    }

    private addInvalidValue(path: JSONPath, reason: string): void {
        this.failures.push(failure("settingsValue", { ...this.document.locationOf(path), reason }));
    }
}
