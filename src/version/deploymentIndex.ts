import type { Milliseconds } from "../util/clock.js";
import type { DeployedRoute, DeployedService, DeployedTeam, Deployment } from "./deployment.js";

/** The least urgency that endpoints know. */
const lowestUrgency = 9;

/** A deployment with indexes for the decisions that each call needs. */
export class DeploymentIndex {
    private readonly routesByHost = new Map<string, readonly DeployedRoute[]>();
    private readonly teamsByKey = new Map<string, DeployedTeam>();
    private readonly services = new Map<string, DeployedService>();
    private readonly shortestPauses = new Map<string, Milliseconds>();
    private readonly urgencies = new Map<string, number>();

    constructor(readonly deployment: Deployment) {
        for (const route of deployment.routes) {
            const host = route.host.toLowerCase();
            this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], route]);
        }
        for (const [host, routes] of this.routesByHost) {
            this.routesByHost.set(host, [...routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
        }
        for (const team of deployment.teams ?? []) {
            team.keys.forEach(key => this.teamsByKey.set(key, team));
        }
        deployment.services.forEach(service => this.services.set(service.name, service));
        for (const { targetPause = Infinity, targets } of deployment.routes) {
            for (const { service } of targets) {
                this.shortestPauses.set(service, Math.min(targetPause, this.shortestPauses.get(service) ?? Infinity));
            }
        }
        rankedTiers(deployment).forEach((tiers, rank) => this.urgencies.set(tiers, Math.min(rank, lowestUrgency)));
    }

    get version(): number {
        return this.deployment.version;
    }

    /** The route with the longest prefix of a path, query excluded. */
    findRoute(host: string, path: string): DeployedRoute | undefined {
        const routes = this.routesByHost.get(hostName(host));
        return routes?.find(route => path.startsWith(route.pathPrefix));
    }

    /** The team that holds a key at present. */
    findTeam(key: string): DeployedTeam | undefined {
        return this.teamsByKey.get(key);
    }

    findService(name: string): DeployedService | undefined {
        return this.services.get(name);
    }

    /** The shortest pause between events that any route to a service allows; undefined where none bounds it. */
    shortestPauseAt(service: string): Milliseconds | undefined {
        const pause = this.shortestPauses.get(service) ?? Infinity;
        return pause === Infinity ? undefined : pause;
    }

    /**
     * The urgency that endpoints are told, from 0, the highest, to 9.
     *
     * The tier of the team goes before that of the route, which decides among the calls of equal teams.
     */
    urgencyOf(route: DeployedRoute, team: DeployedTeam | undefined): number {
        return this.urgencies.get(tierPair(team?.tier ?? 0, route.tier)) ?? lowestUrgency;
    }

    /** Whether calls of a route need the key of a team. */
    needsKey(route: DeployedRoute): boolean {
        return this.deployment.teams !== undefined && !route.isPublic;
    }
}

/** All pairs of a team's and a route's tier, the most urgent first. */
function rankedTiers({ routes, teams = [] }: Deployment): readonly string[] {
    // Calls of public routes belong to no team and count as those of the highest tier.
    const teamTiers = ascending([0, ...teams.map(team => team.tier ?? 0)]);
    const routeTiers = ascending(routes.map(route => route.tier));
    return teamTiers.flatMap(team => routeTiers.map(route => tierPair(team, route)));
}

function ascending(values: readonly number[]): readonly number[] {
    return [...new Set(values)].sort((a, b) => a - b);
}

function tierPair(teamTier: number, routeTier: number): string {
    return `${teamTier}/${routeTier}`;
}

/** Draws one of a route's services by weight, with a number that is uniform in [0, 1). */
export function drawService(route: DeployedRoute, draw: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let rest = draw * total;
    for (const { service, weight } of route.targets) {
        rest -= weight;
        if (rest < 0) {
            return service;
        }
    }
    return route.targets.findLast(target => target.weight > 0)?.service ?? "";
}

function hostName(host: string): string {
    return host.replace(/:\d+$/, "").toLowerCase();
}
