import type { ConfigurationSnapshot } from "./configurationChange.js";
import type { Key, Limits, Manifest, Pool, Price, RequestClass, Route, Team } from "./manifest.js";

/** The team and key that a request was authenticated with. */
export interface Identity {
    readonly team: Team;
    readonly key: Key;
}

/** A route with the pool and request class that it refers to. */
export interface ResolvedRoute {
    readonly route: Route;
    readonly pool: Pool;
    readonly requestClass: RequestClass;
}

/** An immutable version of the configuration with the indexes that requests need. */
export class CompiledConfiguration {
    readonly version: number;
    readonly manifest: Manifest | undefined;
    private readonly identitiesByKeyDigest = new Map<string, Identity>();
    private readonly classesByName: ReadonlyMap<string, RequestClass>;
    private readonly poolsByName: ReadonlyMap<string, Pool>;
    private readonly routesByModel = new Map<string, readonly Route[]>();
    private readonly serviceRoutes: readonly Route[];
    private readonly pricesByClass: ReadonlyMap<string, Price>;
    private readonly weightsByTeam = new Map<string, number>();
    private readonly limitsByOwner = new Map<string, Limits>();
    private readonly teamsByRoute = new Map<string, ReadonlySet<string>>();

    constructor(snapshot: ConfigurationSnapshot) {
        const manifest = snapshot.manifest;
        this.version = snapshot.version;
        this.manifest = manifest;
        this.classesByName = new Map(manifest?.classes.map(requestClass => [requestClass.name, requestClass]));
        this.poolsByName = new Map(manifest?.pools.map(pool => [pool.name, pool]));
        this.pricesByClass = new Map(manifest?.billing.prices.map(price => [price.requestClass, price]));
        this.serviceRoutes = (manifest?.routes ?? [])
            .filter(route => route.kind === "service")
            .sort((left, right) => (right.pathPrefix ?? "").length - (left.pathPrefix ?? "").length);
        this.indexKeys(snapshot);
        this.indexRoutes(manifest?.routes ?? []);
    }

    /** All pools, in the order of the manifest. */
    get allPools(): readonly Pool[] {
        return this.manifest?.pools ?? [];
    }

    /** The cut (commission), in millionths of the price. */
    get cutPerMillion(): number {
        return this.manifest?.billing.cutPerMillion ?? 0;
    }

    /** Limits of a team, or of a key as `team/key`; undefined if it has none. */
    limitsOf(owner: string): Limits | undefined {
        return this.limitsByOwner.get(owner);
    }

    /** Relative share of capacity of a team among the teams of a tier; 1 for an unknown team. */
    weightOf(team: string | undefined): number {
        return team === undefined ? 1 : this.weightsByTeam.get(team) ?? 1;
    }

    /** Prices of a request class; undefined if it costs nothing. */
    priceOf(requestClass: string): Price | undefined {
        return this.pricesByClass.get(requestClass);
    }

    /** The team and key for the digest of a key; undefined if the key is unknown or withdrawn. */
    identify(digest: string): Identity | undefined {
        return this.identitiesByKeyDigest.get(digest);
    }

    /**
     * Resolves the route of a model call.
     *
     * @param className Request class named by the caller; undefined for the default class of the route.
     * @param team Undefined if the request has no key; then only routes that are open to all match.
     */
    resolveModelRoute(
        model: string,
        className: string | undefined,
        team: string | undefined,
    ): ResolvedRoute | undefined {
        const routes = this.routesByModel.get(model) ?? [];
        return this.findUsableRoute(routes, className, team);
    }

    /** Resolves the route of a call of a plain service: the one with the longest path prefix that the team may use. */
    resolveServiceRoute(
        path: string,
        className: string | undefined,
        team: string | undefined,
    ): ResolvedRoute | undefined {
        const routes = this.serviceRoutes.filter(route => isPathPrefix(route.pathPrefix ?? "/", path));
        return this.findUsableRoute(routes, className, team);
    }

    /** Names of the models that the team may use, without duplicates. */
    modelsOf(team: string | undefined): readonly string[] {
        const usable = [...this.routesByModel].filter(([, routes]) =>
            routes.some(route => this.mayTeamUse(route, team))
        );
        return usable.map(([model]) => model);
    }

    private findUsableRoute(
        routes: readonly Route[],
        className: string | undefined,
        team: string | undefined,
    ): ResolvedRoute | undefined {
        for (const route of routes) {
            const requestClass = this.classesByName.get(className ?? route.requestClass);
            const isClassAllowed = className === undefined || className === route.requestClass
                || route.classes.includes(className);
            const pool = this.poolsByName.get(route.pool);
            if (isClassAllowed && requestClass !== undefined && pool !== undefined && this.mayTeamUse(route, team)) {
                return { route, pool, requestClass };
            }
        }
        return undefined;
    }

    private mayTeamUse(route: Route, team: string | undefined): boolean {
        if (route.openToAll) {
            return true;
        }
        if (team === undefined) {
            return false;
        }
        return route.teams === "all" || this.teamsByRoute.get(route.name)?.has(team) === true;
    }

    private indexKeys(snapshot: ConfigurationSnapshot): void {
        const teams = new Map<string, Team>();
        for (const team of snapshot.manifest?.teams ?? []) {
            teams.set(team.name, team);
            this.indexTeam(team);
            for (const key of team.keys) {
                this.indexKey({ team, key });
            }
        }
        for (const issued of snapshot.issuedKeys) {
            const team = teams.get(issued.team);
            if (team !== undefined) {
                this.indexKey({ team, key: issued.key });
            }
        }
    }

    private indexTeam(team: Team): void {
        if (team.weight !== 1) {
            this.weightsByTeam.set(team.name, team.weight);
        }
        if (team.limits !== undefined) {
            this.limitsByOwner.set(team.name, team.limits);
        }
    }

    private indexKey(identity: Identity): void {
        const { team, key } = identity;
        this.identitiesByKeyDigest.set(key.digest, identity);
        if (key.limits !== undefined) {
            this.limitsByOwner.set(`${team.name}/${key.name}`, key.limits);
        }
    }

    private indexRoutes(routes: readonly Route[]): void {
        for (const route of routes) {
            if (route.teams !== "all") {
                this.teamsByRoute.set(route.name, new Set(route.teams));
            }
            if (route.kind === "model" && route.model !== undefined) {
                this.routesByModel.set(route.model, [...(this.routesByModel.get(route.model) ?? []), route]);
            }
        }
    }
}

function isPathPrefix(prefix: string, path: string): boolean {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";
}
