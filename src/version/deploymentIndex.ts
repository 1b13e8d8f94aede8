import type { Milliseconds } from "../util/clock.js";
import type { DeployedRoute, DeployedService, DeployedTeam, Deployment } from "./deployment.js";

/** Urgency of the least urgent calls; endpoints accept no higher value. */
const lowestUrgency = 9;

/** A deployment with the indexes that calls need. */
export class DeploymentIndex {
    private readonly routesByHost = new Map<string, readonly DeployedRoute[]>();
    private readonly teamsByKey = new Map<string, DeployedTeam>();
    private readonly teamsByName = new Map<string, DeployedTeam>();
    private readonly servicesByName = new Map<string, DeployedService>();
    private readonly eventGapTargetsByService = new Map<string, Milliseconds>();
    private readonly urgenciesByTierPair = new Map<string, number>();

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
            this.teamsByName.set(team.name, team);
        }
        deployment.services.forEach(service => this.servicesByName.set(service.name, service));
        for (const { targetEventGap: eventGapTarget = Infinity, targets } of deployment.routes) {
            for (const { service } of targets) {
                this.eventGapTargetsByService.set(
                    service,
                    Math.min(eventGapTarget, this.eventGapTargetsByService.get(service) ?? Infinity),
                );
            }
        }
        rankTierPairs(deployment).forEach((tiers, rank) =>
            this.urgenciesByTierPair.set(tiers, Math.min(rank, lowestUrgency))
        );
    }

    get version(): number {
        return this.deployment.version;
    }

    /** Finds the route with the longest prefix of a path. The path must not contain a query. */
    findRoute(host: string, path: string): DeployedRoute | undefined {
        const routes = this.routesByHost.get(normalizeHost(host));
        return routes?.find(route => path.startsWith(route.pathPrefix));
    }

    /** Finds the team of a key. */
    findTeam(key: string): DeployedTeam | undefined {
        return this.teamsByKey.get(key);
    }

    findTeamByName(name: string): DeployedTeam | undefined {
        return this.teamsByName.get(name);
    }

    findService(name: string): DeployedService | undefined {
        return this.servicesByName.get(name);
    }

    /** The shortest target time between two events among the routes to a service; undefined if none has such a target. */
    minimumEventGapTarget(service: string): Milliseconds | undefined {
        const eventGapTarget = this.eventGapTargetsByService.get(service) ?? Infinity;
        return eventGapTarget === Infinity ? undefined : eventGapTarget;
    }

    /**
     * Returns the urgency of a call, from 0 (most urgent) to 9, which is sent to endpoints.
     *
     * The tier of the team takes precedence; the tier of the route orders calls of teams with the same tier.
     */
    urgencyOf(route: DeployedRoute, team: DeployedTeam | undefined): number {
        return this.urgenciesByTierPair.get(formatTierPair(team?.tier ?? 0, route.tier)) ?? lowestUrgency;
    }

    /** Whether calls of a route must have the key of a team. */
    needsKey(route: DeployedRoute): boolean {
        return this.deployment.teams !== undefined && !route.isPublic;
    }
}

/** All pairs of a team tier and a route tier, most urgent first. */
function rankTierPairs({ routes, teams = [] }: Deployment): readonly string[] {
    // Calls without a team, on public routes, have the tier 0.
    const teamTiers = sortUnique([0, ...teams.map(team => team.tier ?? 0)]);
    const routeTiers = sortUnique(routes.map(route => route.tier));
    return teamTiers.flatMap(team => routeTiers.map(route => formatTierPair(team, route)));
}

function sortUnique(values: readonly number[]): readonly number[] {
    return [...new Set(values)].sort((a, b) => a - b);
}

function formatTierPair(teamTier: number, routeTier: number): string {
    return `${teamTier}/${routeTier}`;
}

/**
 * Selects one of the services of a route at random, by weight.
 *
 * @param randomNumber Uniformly distributed in [0, 1).
 */
export function selectService(route: DeployedRoute, randomNumber: number): string {
    const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = randomNumber * totalWeight;
    for (const { service, weight } of route.targets) {
        remainingWeight -= weight;
        if (remainingWeight < 0) {
            return service;
        }
    }
    return route.targets.findLast(target => target.weight > 0)?.service ?? "";
}

function normalizeHost(host: string): string {
    return host.replace(/:\d+$/, "").toLowerCase();
}
