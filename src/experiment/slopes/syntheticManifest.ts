import { keyDigest } from "../../util/keyDigest.js";

/** Sizes and addresses of a synthetic manifest. */
export interface SyntheticManifestOptions {
    /** Manifest number. */
    readonly number: number;
    readonly teams: number;
    /** Number of model pools; each has its own model and route and an equal share of the endpoints. */
    readonly pools: number;
    /** Total number of endpoints. */
    readonly endpoints: number;
    /** Address of every endpoint; an unreachable port if omitted. */
    readonly endpointAddress?: string;
    /** Addresses of the endpoints of the first pool, one for each; replace its share of `endpoints`. */
    readonly endpointAddresses?: readonly string[];
}

const tierCount = 6;

/** Returns the API key of a team. */
export function syntheticKey(team: number): string {
    return `ghk_measured-team-${team}`;
}

/** Returns the name of a team. */
export function syntheticTeamName(team: number): string {
    return `team-${team}`;
}

/** Returns the name of the model of a pool. */
export function syntheticModelName(pool: number): string {
    return `model-${pool}`;
}

/** Creates a manifest with one key for each team, six request classes with one tier each, and model pools. */
export function createSyntheticManifest(options: SyntheticManifestOptions): object {
    return {
        number: options.number,
        teams: indexRange(options.teams).map(team => ({
            name: syntheticTeamName(team),
            keys: [{ name: "main", digest: keyDigest(syntheticKey(team)) }],
        })),
        classes: indexRange(tierCount).map(tier => ({
            name: `tier-${tier}`,
            tier,
            target: { firstTokenMilliseconds: 400, totalMilliseconds: 60_000 },
        })),
        routes: indexRange(options.pools).map(pool => ({
            name: `route-${pool}`,
            kind: "model",
            model: syntheticModelName(pool),
            pool: `pool-${pool}`,
            requestClass: "tier-1",
            teams: "all",
        })),
        pools: indexRange(options.pools).map(pool => ({
            name: `pool-${pool}`,
            kind: "model",
            model: syntheticModelName(pool),
            endpoints: createEndpoints(options, pool),
        })),
        billing: { currency: "AUD", cutPerMillion: 50_000 },
    };
}

function createEndpoints(options: SyntheticManifestOptions, pool: number): readonly object[] {
    const addresses = pool === 0 ? options.endpointAddresses : undefined;
    const count = addresses?.length ?? Math.floor(options.endpoints / options.pools);
    return indexRange(count).map(endpoint => ({
        name: `endpoint-${pool}-${endpoint}`,
        address: addresses?.[endpoint] ?? options.endpointAddress ?? "127.0.0.1:1",
        failureDomain: `domain-${endpoint % 19}`,
    }));
}

function indexRange(count: number): readonly number[] {
    return [...Array(count).keys()];
}
