import type { DomainPlan, PlanReason, PoolPlan, PoolView } from "./capacityPlanner.js";

/** Number of endpoints that a pool needs. */
export interface Requirement {
    /** Endpoints for the demand of all tiers. */
    readonly endpoints: number;
    /** Endpoints that must remain when the failure domain with the most cheap endpoints loses them. */
    readonly protectedEndpoints: number;
}

/** Number of endpoints of each kind; the platform may reclaim cheap ones. */
export interface EndpointMix {
    readonly steady: number;
    readonly cheap: number;
}

/**
 * Computes the least expensive mix that meets a requirement, within the pool's maximum number of replicas.
 *
 * Cheap endpoints are spread evenly over the failure domains that offer them, which minimizes the loss when one fails.
 */
export function cheapestMix(requirement: Requirement, view: PoolView): EndpointMix {
    const cheapDomainCount = view.offers.filter(offer => offer.cheap).length;
    const wanted = Math.min(requirement.endpoints, view.maximumReplicas);
    const wantedProtected = Math.min(requirement.protectedEndpoints, view.maximumReplicas);
    const maximumCheap = cheapDomainCount === 0 ? 0 : view.maximumReplicas;
    let best: EndpointMix = { steady: Math.max(wanted, wantedProtected), cheap: 0 };
    for (let cheap = 1; cheap <= maximumCheap; cheap += 1) {
        const remainingAfterLoss = cheap - Math.ceil(cheap / cheapDomainCount);
        const steady = Math.max(0, wanted - cheap, wantedProtected - remainingAfterLoss);
        if (steady + cheap <= view.maximumReplicas && priceOf({ steady, cheap }, view) < priceOf(best, view)) {
            best = { steady, cheap };
        }
    }
    return best;
}

/** Returns the price of a mix, in millionths of the currency unit per hour. */
export function priceOf(mix: EndpointMix, view: PoolView): number {
    return mix.steady * view.steadyPricePerHour + mix.cheap * view.cheapPricePerHour;
}

/** Reduces a requirement until the spend limit allows it; the endpoints of the protected tiers are reduced last. */
export function affordableRequirement(requirement: Requirement, view: PoolView): Requirement {
    const limit = view.spendLimitPerHour ?? Infinity;
    let { protectedEndpoints } = requirement;
    let endpoints = Math.max(requirement.endpoints, protectedEndpoints);
    while (endpoints > 0 && priceOf(cheapestMix({ endpoints, protectedEndpoints }, view), view) > limit) {
        if (endpoints > protectedEndpoints) {
            endpoints -= 1;
        }
        else {
            endpoints -= 1;
            protectedEndpoints -= 1;
        }
    }
    return { endpoints, protectedEndpoints };
}

/**
 * Creates a plan that meets a requirement as far as the limits allow.
 *
 * The plan's reasons are the given ones, then the loss of cheap endpoints it allows for, then the limits that affect it.
 */
export function planFor(requirement: Requirement, view: PoolView, reasons: readonly PlanReason[]): PoolPlan {
    const affordable = affordableRequirement(requirement, view);
    const mix = cheapestMix(affordable, view);
    const domains = spreadOverDomains(mix, view);
    const missing = requirement.endpoints - affordable.endpoints;
    const overMaximum = affordable.endpoints - view.maximumReplicas;
    const domainsWithoutCheap = view.offers.filter(offer => !offer.cheap);
    const limitReasons: readonly PlanReason[] = [
        ...domainsWithoutCheap.map(({ failureDomain }): PlanReason => ({ kind: "cheapNotOffered", failureDomain })),
        ...(missing > 0
            ? [{ kind: "spendLimit", missing, firstTierAtRisk: findFirstTierAtRisk(affordable, view) } as const]
            : []),
        ...(overMaximum > 0 ? [{ kind: "maximumReplicas", missing: overMaximum } as const] : []),
    ];
    const domainLossReason: PlanReason = {
        kind: "domainLoss",
        protectedEndpoints: affordable.protectedEndpoints,
        largestCheapDomain: Math.max(0, ...domains.map(domain => domain.cheap)),
    };
    return {
        pool: view.pool,
        domains,
        spendPerHour: priceOf(mix, view),
        reasons: [...reasons, domainLossReason, ...limitReasons],
    };
}

/**
 * Spreads a mix evenly over the failure domains that offer each kind.
 *
 * The remainder goes to the domains that already have the most endpoints of the kind.
 */
export function spreadOverDomains(mix: EndpointMix, view: PoolView): readonly DomainPlan[] {
    const steady = distribute(mix.steady, view, false);
    const cheap = distribute(mix.cheap, view, true);
    return view.offers.map(({ failureDomain }) => ({
        failureDomain,
        steady: steady.get(failureDomain) ?? 0,
        cheap: cheap.get(failureDomain) ?? 0,
    }));
}

function distribute(count: number, view: PoolView, cheap: boolean): ReadonlyMap<string, number> {
    const existingCount = (failureDomain: string): number =>
        view.fleet.filter(member => member.cheap === cheap && member.failureDomain === failureDomain).length;
    const domains = view.offers
        .filter(offer => cheap ? offer.cheap : offer.steady)
        .map(({ failureDomain }) => failureDomain)
        .sort((left, right) => existingCount(right) - existingCount(left));
    const remainder = count % Math.max(1, domains.length);
    const perDomain = Math.floor(count / Math.max(1, domains.length));
    return new Map(domains.map((domain, index) => [domain, perDomain + (index < remainder ? 1 : 0)]));
}

/** Finds the highest tier whose demand exceeds the capacity that the tiers above it leave. */
function findFirstTierAtRisk(requirement: Requirement, view: PoolView): number {
    let remainingCapacity = requirement.endpoints * view.serviceRate;
    const tier = view.demand.findIndex(demand => {
        remainingCapacity -= demand;
        return remainingCapacity < 0;
    });
    return tier < 0 ? view.demand.length - 1 : tier;
}
