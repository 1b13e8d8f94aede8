import type { EndpointGroup } from "../../process/entry/endpointGroup.js";
import type { EndpointState } from "../../process/entry/endpointState.js";
import type { RandomSource } from "../../util/randomSource.js";
import { EndpointChooser } from "../endpointChooser.js";
import type { PendingRequest } from "../pendingRequest.js";
import { hashText } from "./hashText.js";
import type { PrefixCacheIndex } from "./prefixCacheIndex.js";
import { RendezvousTable } from "./rendezvousTable.js";

/** Minimum number of prompt tokens for prefix affinity; shorter prompts gain too little from a cached prefix. */
const minimumAffinityTokens = 64;

/** Maximum fraction by which the load of an endpoint chosen for its prefix may exceed the mean load. */
const affinityLoadMargin = 0.25;

/** Number of endpoints, in order of their rendezvous score, that are tried for a prefix. */
const preferredEndpointCount = 2;

/** Maximum number of endpoints with a cached prefix that are compared for one choice. */
const maximumComparedHolders = 4;

/** Number of endpoints that are sampled at random for one choice. */
const randomCandidateCount = 2;

/** Number of top tiers whose requests prefer steady endpoints; those of other tiers prefer cheap ones if idempotent. */
const steadyTierCount = 2;

/** Load added to the cost of an endpoint whose kind, steady or cheap, does not match the request's tier. */
const kindMismatchPenalty = 0.25;

/**
 * Routes requests by prefix affinity with a bound on the load; entries use this chooser.
 *
 * A request goes to an endpoint that has its prefix cached, or else to one that rendezvous hashing selects for its
 * prefix, unless the load of that endpoint exceeds the mean by more than the margin (consistent hashing with bounded
 * loads, Mirrokni, Thorup and Zadimoghaddam, 2018). All other requests go to the less loaded of two endpoints sampled
 * at random ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher, 2001), which tolerates stale load
 * reports.
 */
export class AffinityChooser extends EndpointChooser {
    private readonly rendezvousTables = new WeakMap<
        EndpointGroup,
        { readonly version: number; readonly table: RendezvousTable; }
    >();

    /**
     * @param random Samples endpoints.
     * @param cacheIndex The prefixes that endpoints are known to have cached.
     */
    constructor(private readonly random: RandomSource, private readonly cacheIndex: PrefixCacheIndex) {
        super();
    }

    override choose(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        if (request.promptTokens >= minimumAffinityTokens && request.affinityDigest !== "") {
            const preferred = this.longestPrefixHolder(group, request) ?? this.preferredEndpoint(group, request);
            if (preferred !== undefined) {
                return preferred;
            }
        }
        return this.leastCostOfRandom(group, request);
    }

    private longestPrefixHolder(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        const digests = request.cachePrefixDigests ?? [];
        for (let index = digests.length - 1; index >= 0; index--) {
            const holders = this.cacheIndex.endpointsWithPrefix(digests[index] ?? "");
            const chosen = holders === undefined ? undefined : leastLoadedHolder(group, holders, request);
            if (chosen !== undefined) {
                return chosen;
            }
        }
        return undefined;
    }

    private preferredEndpoint(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        const preferred = this.rendezvousTableOf(group).preferredEndpoints(
            hashText(request.affinityDigest),
            preferredEndpointCount,
        );
        return preferred.find(endpoint => isWithinLoadBound(group, endpoint, request));
    }

    private leastCostOfRandom(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        const { available } = group;
        let best: EndpointState | undefined;
        let bestCost = Infinity;
        for (let sample = 0; sample < Math.min(randomCandidateCount, available.length); sample++) {
            const candidate = available[this.random.integer(0, available.length - 1)];
            const cost = candidate === undefined ? Infinity : costOf(candidate, request);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    private rendezvousTableOf(group: EndpointGroup): RendezvousTable {
        const cached = this.rendezvousTables.get(group);
        if (cached?.version === group.membersVersion) {
            return cached.table;
        }
        const table = new RendezvousTable(group.members);
        this.rendezvousTables.set(group, { version: group.membersVersion, table });
        return table;
    }
}

function leastLoadedHolder(
    group: EndpointGroup,
    holders: ReadonlySet<EndpointState>,
    request: PendingRequest,
): EndpointState | undefined {
    let best: EndpointState | undefined;
    let compared = 0;
    for (const holder of holders) {
        if (compared++ >= maximumComparedHolders) {
            break;
        }
        if (isWithinLoadBound(group, holder, request) && (best === undefined || holder.load < best.load)) {
            best = holder;
        }
    }
    return best;
}

/** Whether prefix affinity may choose an endpoint; the bound always leaves room for one request above the mean load. */
function isWithinLoadBound(group: EndpointGroup, endpoint: EndpointState, request: PendingRequest): boolean {
    if (!group.isAvailable(endpoint)) {
        return false;
    }
    const bound = group.meanLoad * (1 + affinityLoadMargin) + 1 / endpoint.maximumRunning;
    return costOf(endpoint, request) <= bound;
}

function costOf(endpoint: EndpointState, request: PendingRequest): number {
    const steadyWanted = request.requestClass.tier < steadyTierCount || !request.idempotent;
    const kindFits = endpoint.description.cheap !== steadyWanted;
    return endpoint.load + (kindFits ? 0 : kindMismatchPenalty);
}
