import type { ConfigurationSnapshot } from "./configurationChange.js";
import type { Key, Limits, Manifest, Pool, Price, RequestClass, Route, Team } from "./manifest.js";

/** The team and key that a request was authenticated as. */
export interface Identity {
    readonly team: Team;
    readonly key: Key;
}

/** A request's route and everything that the route refers to. */
export interface ResolvedRoute {
    readonly route: Route;
    readonly pool: Pool;
    readonly requestClass: RequestClass;
}

/** One version of the configuration with the indexes that requests need; it never changes. */
export class CompiledConfiguration {
    readonly version: number;
    readonly manifest: Manifest | undefined;
    private readonly identities = new Map<string, Identity>();
    private readonly classes: ReadonlyMap<string, RequestClass>;
    private readonly pools: ReadonlyMap<string, Pool>;
    private readonly modelRoutes = new Map<string, readonly Route[]>();
    private readonly serviceRoutes: readonly Route[];
    private readonly prices: ReadonlyMap<string, Price>;
    private readonly weights = new Map<string, number>();
    private readonly limits = new Map<string, Limits>();
    private readonly routeTeams = new Map<string, ReadonlySet<string>>();

    constructor(snapshot: ConfigurationSnapshot) {
        const manifest = snapshot.manifest;
        this.version = snapshot.version;
        this.manifest = manifest;
        this.classes = new Map(manifest?.classes.map(requestClass => [requestClass.name, requestClass]));
        this.pools = new Map(manifest?.pools.map(pool => [pool.name, pool]));
        this.prices = new Map(manifest?.billing.prices.map(price => [price.requestClass, price]));
        this.serviceRoutes = (manifest?.routes ?? [])
            .filter(route => route.kind === "service")
            .sort((left, right) => (right.pathPrefix ?? "").length - (left.pathPrefix ?? "").length);
        this.indexKeys(snapshot);
        this.indexRoutes(manifest?.routes ?? []);
    }

    /** Every pool, in the order of the manifest. */
    get allPools(): readonly Pool[] {
        return this.manifest?.pools ?? [];
    }

    /** The cut in millionths of the price. */
    get cutPerMillion(): number {
        return this.manifest?.billing.cutPerMillion ?? 0;
    }

    /** Limits of a team, or of a key as `team/key`; undefined where it has none. */
    limitsOf(owner: string): Limits | undefined {
        return this.limits.get(owner);
    }

    /** Share of service of a team among the teams of a tier; 1 for an unknown one. */
    weightOf(team: string | undefined): number {
        return team === undefined ? 1 : this.weights.get(team) ?? 1;
    }

    /** Prices of a request class; undefined for one that costs nothing. */
    priceOf(requestClass: string): Price | undefined {
        return this.prices.get(requestClass);
    }

    /** The team and key of a key's digest; undefined for an unknown or withdrawn key. */
    identify(digest: string): Identity | undefined {
        return this.identities.get(digest);
    }

    /**
     * The route of a request for a model.
     *
     * @param className Class named by the caller; undefined for the route's own.
     * @param team Undefined when the request carries no key: then only routes that are open to all match.
     */
    modelRoute(model: string, className: string | undefined, team: string | undefined): ResolvedRoute | undefined {
        const routes = this.modelRoutes.get(model) ?? [];
        return this.firstUsable(routes, className, team);
    }

    /** The route of a request for a plain service: the longest path prefix that the team may use. */
    serviceRoute(path: string, className: string | undefined, team: string | undefined): ResolvedRoute | undefined {
        const routes = this.serviceRoutes.filter(route => coversPath(route.pathPrefix ?? "/", path));
        return this.firstUsable(routes, className, team);
    }

    /** Models that the team may name, each once. */
    modelsOf(team: string | undefined): readonly string[] {
        const usable = [...this.modelRoutes].filter(([, routes]) => routes.some(route => this.mayUse(route, team)));
        return usable.map(([model]) => model);
    }

    private firstUsable(
        routes: readonly Route[],
        className: string | undefined,
        team: string | undefined,
    ): ResolvedRoute | undefined {
        for (const route of routes) {
            const requestClass = this.classes.get(className ?? route.requestClass);
            const allowed = className === undefined || className === route.requestClass
                || route.classes.includes(className);
            const pool = this.pools.get(route.pool);
            if (allowed && requestClass !== undefined && pool !== undefined && this.mayUse(route, team)) {
                return { route, pool, requestClass };
            }
        }
        return undefined;
    }

    private mayUse(route: Route, team: string | undefined): boolean {
        if (route.openToAll) {
            return true;
        }
        if (team === undefined) {
            return false;
        }
        return route.teams === "all" || this.routeTeams.get(route.name)?.has(team) === true;
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
            this.weights.set(team.name, team.weight);
        }
        if (team.limits !== undefined) {
            this.limits.set(team.name, team.limits);
        }
    }

    private indexKey(identity: Identity): void {
        const { team, key } = identity;
        this.identities.set(key.digest, identity);
        if (key.limits !== undefined) {
            this.limits.set(`${team.name}/${key.name}`, key.limits);
        }
    }

    private indexRoutes(routes: readonly Route[]): void {
        for (const route of routes) {
            if (route.teams !== "all") {
                this.routeTeams.set(route.name, new Set(route.teams));
            }
            if (route.kind === "model" && route.model !== undefined) {
                this.modelRoutes.set(route.model, [...(this.modelRoutes.get(route.model) ?? []), route]);
            }
        }
    }
}

function coversPath(prefix: string, path: string): boolean {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";
}
