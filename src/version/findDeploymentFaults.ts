import type { DeployedRoute, Deployment } from "./deployment.js";

/** Lists why a deployment is invalid; empty if it is valid. */
export function findDeploymentFaults(deployment: Deployment): readonly string[] {
    const services = new Set(deployment.services.map(service => service.name));
    return [
        ...deployment.routes.flatMap(route => findRouteFaults(route, services)),
        ...findDuplicates(deployment.routes.map(route => `${route.host} ${route.pathPrefix}`)).map(place =>
            `two routes share the place ${place}`
        ),
        ...findDuplicates(deployment.services.map(service => service.name)).map(name =>
            `two services are named ${name}`
        ),
        ...findSharedKeyFaults(deployment),
    ];
}

function findRouteFaults(route: DeployedRoute, services: ReadonlySet<string>): readonly string[] {
    const faults: string[] = [];
    for (const { service, weight } of route.targets) {
        if (!services.has(service)) {
            faults.push(`route ${route.name} names the unknown service ${service}`);
        }
        if (weight < 0) {
            faults.push(`route ${route.name} has a negative weight`);
        }
    }
    if (route.targets.reduce((sum, target) => sum + target.weight, 0) <= 0) {
        faults.push(`the weights of route ${route.name} add up to nothing`);
    }
    if (route.timeout <= 0) {
        faults.push(`route ${route.name} has no time to answer`);
    }
    return faults;
}

/** Two teams must not share a key, since a key identifies the team of a call. */
function findSharedKeyFaults({ teams = [] }: Deployment): readonly string[] {
    const owners = new Map<string, string>();
    const faults: string[] = [];
    for (const team of teams) {
        for (const key of team.keys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== team.name) {
                faults.push(`the teams ${owner} and ${team.name} share a key`);
            }
            owners.set(key, team.name);
        }
    }
    return faults;
}

function findDuplicates(values: readonly string[]): readonly string[] {
    const seen = new Set<string>();
    return values.filter(value => {
        const isDuplicate = seen.has(value);
        seen.add(value);
        return isDuplicate;
    });
}
