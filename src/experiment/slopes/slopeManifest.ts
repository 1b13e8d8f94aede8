import { keyDigest } from "../../util/keyDigest.js";

/** What a manifest for a measurement is made from. */
export interface SyntheticManifestOptions {
    readonly number: number;
    readonly teams: number;
    /** Model pools, each with its model, route and share of the endpoints. */
    readonly pools: number;
    readonly endpoints: number;
    /** Address of every endpoint. */
    readonly endpointAddress?: string;
    /** Addresses of the first pool's endpoints, in place of the others. */
    readonly endpointAddresses?: readonly string[];
}

const tierCount = 6;

/** Text of the key of a team. */
export function syntheticKey(team: number): string {
    return `ghk_measured-team-${team}`;
}

/** Name of a team. */
export function syntheticTeamName(team: number): string {
    return `team-${team}`;
}

/** Name of the model of a pool. */
export function syntheticModelName(pool: number): string {
    return `model-${pool}`;
}

/** A manifest with one key for each team, six classes of as many tiers, and model pools. */
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
