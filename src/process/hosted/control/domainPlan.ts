import type { ServiceScaling } from "../../../version/deployment.js";

/** Minimum fraction of steady endpoints, so that a service survives the loss of all its spot endpoints. */
const steadyFraction = 0.15;

/** Fraction of the desired endpoints up to which steady ones replace spot ones while spot capacity is unavailable. */
const scarceFraction = 0.5;

/** Number of steady endpoints replaced per plan when the maximum leaves no room to add spot ones first. */
const exchangeStep = 2;

/** Endpoint counts of one service in one failure domain. */
export interface DomainFleet {
    /** Endpoints that the platform does not reclaim. */
    readonly steady: number;
    /** Endpoints that the platform may reclaim, excluding those being reclaimed. */
    readonly spot: number;
}

/** Input of {@link planDomain}. */
export interface DomainSituation {
    /** Desired number of endpoints in this failure domain. */
    readonly wanted: number;
    readonly present: DomainFleet;
    /** Whether spot capacity has been unavailable here for so long that steady endpoints must replace it. */
    readonly isSpotScarce: boolean;
    readonly scaling: ServiceScaling;
}

/**
 * Computes the endpoint counts to order in a failure domain: as many spot endpoints as are available, and a minimum of
 * steady ones.
 *
 * Steady endpoints are released only after spot ones have replaced them, and ordered instead of spot ones while those
 * are scarce.
 */
export function planDomain({ wanted, present, isSpotScarce, scaling }: DomainSituation): DomainFleet {
    const total = clamp(wanted, Math.max(1, scaling.minimum), scaling.maximum);
    if (scaling.spotPriceFraction === undefined) {
        return { steady: total, spot: 0 };
    }
    const floor = Math.min(total, Math.max(1, Math.round(total * steadyFraction)));
    const missing = total - present.spot;
    if (isSpotScarce) {
        const steady = clamp(Math.ceil(total * scarceFraction) - present.spot, floor, scaling.maximum);
        return { steady, spot: Math.min(total - floor, scaling.maximum - steady) };
    }
    const room = Math.min(missing - floor, exchangeStep);
    const kept = Math.min(present.steady, missing, scaling.maximum - present.spot - room);
    const steady = clamp(kept, floor, scaling.maximum);
    return { steady, spot: Math.min(total - floor, scaling.maximum - steady) };
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
    wanted: number,
    prices: Readonly<Record<string, number>>,
): ReadonlyMap<string, number> {
    const domains = Object.entries(prices).sort(([, a], [, b]) => a - b).map(([domain]) => domain);
    const total = domains.length > 1 ? Math.ceil(wanted * domains.length / (domains.length - 1)) : wanted;
    const share = Math.floor(total / Math.max(1, domains.length));
    const rest = total - share * domains.length;
    return new Map(domains.map((domain, index) => [domain, share + (index < rest ? 1 : 0)]));
}

function clamp(value: number, lowest: number, highest: number): number {
    return Math.min(Math.max(value, lowest), highest);
}
