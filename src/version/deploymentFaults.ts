import type { DeployedRoute, Deployment } from "./deployment.js";

/** Lists why a deployment cannot be put in force; empty where it can. */
export function deploymentFaults(deployment: Deployment): readonly string[] {
    const services = new Set(deployment.services.map(service => service.name));
    return [
        ...deployment.routes.flatMap(route => routeFaults(route, services)),
        ...repeated(deployment.routes.map(route => `${route.host} ${route.pathPrefix}`)).map(place =>
            `two routes share the place ${place}`
        ),
        ...repeated(deployment.services.map(service => service.name)).map(name => `two services are named ${name}`),
        ...sharedKeyFaults(deployment),
    ];
}

function routeFaults(route: DeployedRoute, services: ReadonlySet<string>): readonly string[] {
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

/** Two teams must not share a key: it would not be known whose call it is. */
function sharedKeyFaults({ teams = [] }: Deployment): readonly string[] {
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

function repeated(values: readonly string[]): readonly string[] {
    const seen = new Set<string>();
    return values.filter(value => {
        const known = seen.has(value);
        seen.add(value);
        return known;
    });
}
