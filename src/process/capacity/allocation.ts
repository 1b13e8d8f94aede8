import type { DomainPlan, PlanReason, PoolPlan, PoolView } from "./capacityPlanner.js";

/** How many endpoints a pool needs. */
export interface Requirement {
    /** Endpoints for all tiers. */
    readonly endpoints: number;
    /** Endpoints that must be left when the failure domain with most cheap ones is lost. */
    readonly protectedEndpoints: number;
}

/** Numbers of endpoints by kind. */
export interface Mix {
    readonly steady: number;
    readonly cheap: number;
}

/**
 * The least expensive mix that meets a requirement.
 *
 * Cheap endpoints are spread evenly over the failure domains that offer them, so that the loss of one takes the least.
 */
export function cheapestMix(requirement: Requirement, view: PoolView): Mix {
    const domains = view.offers.filter(offer => offer.cheap).length;
    const wanted = Math.min(requirement.endpoints, view.maximumReplicas);
    const protectedWanted = Math.min(requirement.protectedEndpoints, view.maximumReplicas);
    const most = domains === 0 ? 0 : view.maximumReplicas;
    let best: Mix = { steady: Math.max(wanted, protectedWanted), cheap: 0 };
    for (let cheap = 1; cheap <= most; cheap += 1) {
        const left = cheap - Math.ceil(cheap / domains);
        const steady = Math.max(0, wanted - cheap, protectedWanted - left);
        if (steady + cheap <= view.maximumReplicas && priceOf({ steady, cheap }, view) < priceOf(best, view)) {
            best = { steady, cheap };
        }
    }
    return best;
}

/** Price of a mix in millionths of the currency unit an hour. */
export function priceOf(mix: Mix, view: PoolView): number {
    return mix.steady * view.steadyPricePerHour + mix.cheap * view.cheapPricePerHour;
}

/** The largest part of a requirement that the spend limit allows; the top tiers give way last. */
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

/** Makes a plan that meets a requirement as far as limits allow, and says what they cost. */
export function planFor(requirement: Requirement, view: PoolView, reasons: readonly PlanReason[]): PoolPlan {
    const affordable = affordableRequirement(requirement, view);
    const mix = cheapestMix(affordable, view);
    const domains = spread(mix, view);
    const missing = requirement.endpoints - affordable.endpoints;
    const overMaximum = affordable.endpoints - view.maximumReplicas;
    const notOffered = view.offers.filter(offer => !offer.cheap);
    const limits: readonly PlanReason[] = [
        ...notOffered.map(({ failureDomain }): PlanReason => ({ kind: "cheapNotOffered", failureDomain })),
        ...(missing > 0
            ? [{ kind: "spendLimit", missing, firstTierAtRisk: tierAtRisk(affordable, view) } as const]
            : []),
        ...(overMaximum > 0 ? [{ kind: "maximumReplicas", missing: overMaximum } as const] : []),
    ];
    const loss: PlanReason = {
        kind: "domainLoss",
        protectedEndpoints: affordable.protectedEndpoints,
        largestCheapDomain: Math.max(0, ...domains.map(domain => domain.cheap)),
    };
    return { pool: view.pool, domains, spendPerHour: priceOf(mix, view), reasons: [...reasons, loss, ...limits] };
}

/** Spreads a mix over the failure domains that offer each kind, rather where there are such endpoints already. */
export function spread(mix: Mix, view: PoolView): readonly DomainPlan[] {
    const steady = share(mix.steady, view, false);
    const cheap = share(mix.cheap, view, true);
    return view.offers.map(({ failureDomain }) => ({
        failureDomain,
        steady: steady.get(failureDomain) ?? 0,
        cheap: cheap.get(failureDomain) ?? 0,
    }));
}

function share(count: number, view: PoolView, cheap: boolean): ReadonlyMap<string, number> {
    const existing = (failureDomain: string): number =>
        view.fleet.filter(member => member.cheap === cheap && member.failureDomain === failureDomain).length;
    const domains = view.offers
        .filter(offer => cheap ? offer.cheap : offer.steady)
        .map(({ failureDomain }) => failureDomain)
        .sort((left, right) => existing(right) - existing(left));
    const rest = count % Math.max(1, domains.length);
    const each = Math.floor(count / Math.max(1, domains.length));
    return new Map(domains.map((domain, index) => [domain, each + (index < rest ? 1 : 0)]));
}

/** The most important tier whose work no longer fits. */
function tierAtRisk(requirement: Requirement, view: PoolView): number {
    let room = requirement.endpoints * view.serviceRate;
    const tier = view.demand.findIndex(demand => {
        room -= demand;
        return room < 0;
    });
    return tier < 0 ? view.demand.length - 1 : tier;
}
