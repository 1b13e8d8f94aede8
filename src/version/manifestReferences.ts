import type { JSONPath } from "jsonc-parser";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { JsonDocument } from "../settings/jsonDocument.js";
import { formatPath } from "../settings/jsonDocument.js";
import type { Manifest } from "./manifest.js";

/** Checks that every name in a manifest is defined once and that every name it refers to is defined. */
export function manifestReferences(document: JsonDocument, manifest: Manifest): readonly Failure[] {
    return new ReferenceCheck(document, manifest).run();
}

class ReferenceCheck {
    private readonly failures: Failure[] = [];
    private readonly teams: ReadonlySet<string>;
    private readonly classes: ReadonlySet<string>;
    private readonly pools: ReadonlyMap<string, Manifest["pools"][number]>;

    constructor(private readonly document: JsonDocument, private readonly manifest: Manifest) {
        this.teams = new Set(manifest.teams.map(team => team.name));
        this.classes = new Set(manifest.classes.map(requestClass => requestClass.name));
        this.pools = new Map(manifest.pools.map(pool => [pool.name, pool]));
    }

    run(): readonly Failure[] {
        this.checkNames();
        this.checkRoutes();
        this.checkCapacity();
        this.manifest.billing.prices.forEach((price, index) => {
            this.refer(this.classes.has(price.requestClass), price.requestClass, [
                "billing",
                "prices",
                index,
                "requestClass",
            ]);
        });
        return this.failures;
    }

    private checkNames(): void {
        for (const collection of ["teams", "classes", "routes", "pools"] as const) {
            const names = this.manifest[collection].map(item => item.name);
            this.checkUnique(names, index => [collection, index, "name"]);
        }
        const keys = this.manifest.teams.flatMap((team, teamIndex) =>
            team.keys.map((key, keyIndex) => ({ key, path: ["teams", teamIndex, "keys", keyIndex] }))
        );
        this.checkUnique(keys.map(({ key }) => key.digest), index => [...(keys[index]?.path ?? []), "digest"]);
        this.manifest.teams.forEach((team, teamIndex) => {
            this.checkUnique(team.keys.map(key => key.name), index => ["teams", teamIndex, "keys", index, "name"]);
        });
        const endpoints = this.manifest.pools.flatMap((pool, poolIndex) =>
            pool.endpoints.map((endpoint, index) => ({ endpoint, path: ["pools", poolIndex, "endpoints", index] }))
        );
        this.checkUnique(endpoints.map(({ endpoint }) => endpoint.name), index => [
            ...(endpoints[index]?.path ?? []),
            "name",
        ]);
    }

    private checkUnique(names: readonly string[], pathOf: (index: number) => JSONPath): void {
        const seen = new Set<string>();
        names.forEach((name, index) => {
            if (seen.has(name)) {
                this.report("manifestDuplicate", name, pathOf(index));
            }
            seen.add(name);
        });
    }

    private checkRoutes(): void {
        this.manifest.routes.forEach((route, index) => {
            const path = ["routes", index];
            const pool = this.pools.get(route.pool);
            this.refer(pool !== undefined, route.pool, [...path, "pool"]);
            this.refer(this.classes.has(route.requestClass), route.requestClass, [...path, "requestClass"]);
            route.classes.forEach((name, position) => {
                this.refer(this.classes.has(name), name, [...path, "classes", position]);
            });
            if (route.teams !== "all") {
                route.teams.forEach((name, position) => {
                    this.refer(this.teams.has(name), name, [...path, "teams", position]);
                });
            }
            if (pool !== undefined && pool.kind !== route.kind) {
                this.invalid([...path, "kind"], `must be the kind of pool ${pool.name}, which is ${pool.kind}`);
            }
            if (route.kind === "service" && route.pathPrefix === undefined) {
                this.invalid(path, "a service route needs pathPrefix");
            }
            if (route.kind === "model" && route.model === undefined) {
                this.invalid(path, "a model route needs model");
            }
        });
    }

    private checkCapacity(): void {
        this.manifest.pools.forEach((pool, index) => {
            const capacity = pool.capacity;
            if (capacity !== undefined && capacity.minimumReplicas > capacity.maximumReplicas) {
                this.invalid(["pools", index, "capacity", "minimumReplicas"], "must not exceed maximumReplicas");
            }
        });
    }

    private refer(defined: boolean, name: string, path: JSONPath): void {
        if (!defined) {
            this.report("manifestReference", name, path);
        }
    }

    private report(code: "manifestReference" | "manifestDuplicate", name: string, path: JSONPath): void {
        const place = { file: this.document.file, line: this.document.lineOf(path), path: formatPath(path) };
        this.failures.push(failure(code, { ...place, name }));
    }

    private invalid(path: JSONPath, reason: string): void {
        const place = { file: this.document.file, line: this.document.lineOf(path), path: formatPath(path) };
        this.failures.push(failure("settingsValue", { ...place, reason }));
    }
}
