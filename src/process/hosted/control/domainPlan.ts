import type { ServiceScaling } from "../../../version/deployment.js";

/** Minimum fraction of steady endpoints, so that a service survives the loss of all its spot endpoints. */
const minimumSteadyFraction = 0.15;

/** Number of steady endpoints replaced per plan when the maximum leaves no room to add spot ones first. */
const replacementStep = 2;

/** Endpoint counts of one service in one failure domain. */
export interface DomainEndpointCounts {
    /** Endpoints that the platform does not reclaim. */
    readonly steady: number;
    /** Endpoints that the platform may reclaim, excluding those being reclaimed. */
    readonly spot: number;
}

/** Input of {@link planDomain}. */
export interface DomainPlanInput {
    /** Desired number of endpoints in this failure domain. */
    readonly desired: number;
    /** The same number without the spare ones for a lost failure domain. */
    readonly needed: number;
    readonly present: DomainEndpointCounts;
    /** Whether the platform refuses further spot endpoints here. */
    readonly isSpotScarce: boolean;
    readonly scaling: ServiceScaling;
}

/**
 * Computes the endpoint counts to order in a failure domain: as many spot endpoints as are available, and a minimum of
 * steady ones.
 *
 * Steady endpoints are released only after spot ones have replaced them. While spot ones are scarce, steady ones cover
 * what is needed without spare ones; the plan still asks for spot endpoints then, because only an order shows that they
 * are available again.
 */
export function planDomain(
    { desired, needed, present, isSpotScarce, scaling }: DomainPlanInput,
): DomainEndpointCounts {
    const total = clamp(desired, Math.max(1, scaling.minimum), scaling.maximum);
    if (scaling.spotPriceFraction === undefined) {
        return { steady: total, spot: 0 };
    }
    const minimumSteady = Math.min(total, Math.max(1, Math.round(total * minimumSteadyFraction)));
    const uncovered = total - present.spot;
    if (isSpotScarce) {
        const missing = Math.min(needed, total) - present.spot;
        const steady = clamp(missing, minimumSteady, Math.max(minimumSteady, scaling.maximum - 1));
        return { steady, spot: Math.min(total - minimumSteady, scaling.maximum - steady) };
    }
    const replaced = Math.min(uncovered - minimumSteady, replacementStep);
    const retained = Math.min(present.steady, uncovered, scaling.maximum - present.spot - replaced);
    const steady = clamp(retained, minimumSteady, scaling.maximum);
    return { steady, spot: Math.min(total - minimumSteady, scaling.maximum - steady) };
}

/**
 * Distributes endpoints evenly over failure domains; the remainder goes to the cheapest ones.
 *
 * With several domains, the total is raised so that the others still have the desired number when one domain loses its
 * spot endpoints: the extra ones cost little compared with callers waiting for new ones to start.
 *
 * @param prices Price of an endpoint by failure domain.
 * @returns Number of endpoints by failure domain.
 */
export function spreadOverDomains(
    desired: number,
    prices: Readonly<Record<string, number>>,
): ReadonlyMap<string, number> {
    const domains = Object.entries(prices).sort(([, a], [, b]) => a - b).map(([domain]) => domain);
    const total = domains.length > 1 ? Math.ceil(desired * domains.length / (domains.length - 1)) : desired;
    const share = Math.floor(total / Math.max(1, domains.length));
    const remainder = total - share * domains.length;
    return new Map(domains.map((domain, index) => [domain, share + (index < remainder ? 1 : 0)]));
}

function clamp(value: number, minimum: number, maximum: number): number {
    return Math.min(Math.max(value, minimum), maximum);
}
