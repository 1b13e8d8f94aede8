import type { EndpointGroup } from "../../process/entry/endpointGroup.js";
import type { EndpointState } from "../../process/entry/endpointState.js";
import type { RandomSource } from "../../util/randomSource.js";
import { EndpointChooser } from "../endpointChooser.js";
import type { PendingRequest } from "../pendingRequest.js";
import { hashText } from "./hashText.js";
import type { PrefixCacheIndex } from "./prefixCacheIndex.js";
import { RendezvousTable } from "./rendezvousTable.js";

/** Prompts shorter than this many tokens are not worth a detour for their prefix. */
const leastAffineTokens = 64;

/** By how much an endpoint's load may exceed the mean before a prefix no longer draws requests to it. */
const affinityExcess = 0.25;

/** Endpoints that a prefix prefers, in turn. */
const preferredCount = 2;

/** Holders of a prefix that are looked at. */
const comparedHolders = 4;

/** Endpoints drawn at random for one choice. */
const drawn = 2;

/** Most important tiers, which go to steady endpoints where that costs little. */
const steadyTiers = 2;

/** Load that a request accepts to reach an endpoint of the kind that suits its tier. */
const kindPenalty = 0.25;

/**
 * The chooser of the entries.
 *
 * A request goes to an endpoint that holds its prefix, or that its prefix prefers by rendezvous hashing, unless that one
 * is loaded far above the mean (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018). The
 * others go to the less loaded of two endpoints drawn at random ("The Power of Two Choices in Randomized Load
 * Balancing", Mitzenmacher, 2001), which bears reports that lag.
 */
export class AffinityChooser extends EndpointChooser {
    private readonly tables = new WeakMap<
        EndpointGroup,
        { readonly version: number; readonly table: RendezvousTable; }
    >();

    /**
     * @param random Draws endpoints.
     * @param hints What is known of the prefixes that endpoints hold.
     */
    constructor(private readonly random: RandomSource, private readonly hints: PrefixCacheIndex) {
        super();
    }

    override choose(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        if (request.promptTokens >= leastAffineTokens && request.prefixDigest !== "") {
            const preferred = this.holderOf(group, request) ?? this.preferredOf(group, request);
            if (preferred !== undefined) {
                return preferred;
            }
        }
        return this.lessLoaded(group, request);
    }

    private holderOf(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        const digests = request.prefixDigests ?? [];
        for (let index = digests.length - 1; index >= 0; index--) {
            const holders = this.hints.holdersOf(digests[index] ?? "");
            const chosen = holders === undefined ? undefined : leastOf(group, holders, request);
            if (chosen !== undefined) {
                return chosen;
            }
        }
        return undefined;
    }

    private preferredOf(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        const preferred = this.tableOf(group).preferred(hashText(request.prefixDigest), preferredCount);
        return preferred.find(endpoint => withinBound(group, endpoint, request));
    }

    private lessLoaded(group: EndpointGroup, request: PendingRequest): EndpointState | undefined {
        const { available } = group;
        let best: EndpointState | undefined;
        let bestCost = Infinity;
        for (let draw = 0; draw < Math.min(drawn, available.length); draw++) {
            const candidate = available[this.random.integer(0, available.length - 1)];
            const cost = candidate === undefined ? Infinity : costOf(candidate, request);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    private tableOf(group: EndpointGroup): RendezvousTable {
        const known = this.tables.get(group);
        if (known?.version === group.membersVersion) {
            return known.table;
        }
        const table = new RendezvousTable(group.members);
        this.tables.set(group, { version: group.membersVersion, table });
        return table;
    }
}

function leastOf(
    group: EndpointGroup,
    holders: ReadonlySet<EndpointState>,
    request: PendingRequest,
): EndpointState | undefined {
    let best: EndpointState | undefined;
    let seen = 0;
    for (const holder of holders) {
        if (seen++ >= comparedHolders) {
            break;
        }
        if (withinBound(group, holder, request) && (best === undefined || holder.load < best.load)) {
            best = holder;
        }
    }
    return best;
}

/** Whether an endpoint may be chosen for a prefix's sake; a single request more is always within the bound. */
function withinBound(group: EndpointGroup, endpoint: EndpointState, request: PendingRequest): boolean {
    if (!group.isAvailable(endpoint)) {
        return false;
    }
    const bound = group.meanLoad * (1 + affinityExcess) + 1 / endpoint.maximumRunning;
    return costOf(endpoint, request) <= bound;
}

function costOf(endpoint: EndpointState, request: PendingRequest): number {
    const steadyWanted = request.requestClass.tier < steadyTiers || !request.idempotent;
    const kindFits = endpoint.description.cheap !== steadyWanted;
    return endpoint.load + (kindFits ? 0 : kindPenalty);
}
