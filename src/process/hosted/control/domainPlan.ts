import type { ServiceScaling } from "../../../version/deployment.js";

/** Part of the endpoints that the platform cannot reclaim, so that a service outlives the loss of all others. */
const steadyFraction = 0.15;

/** Part of the wanted endpoints up to which steady ones fill the place of spot ones that are not to be had. */
const scarceFraction = 0.5;

/** Steady endpoints that are given back at once where the upper bound leaves no room for spot ones beside them. */
const exchangeStep = 2;

/** The endpoints of one service in one failure domain. */
export interface DomainFleet {
    /** Endpoints that stay until they are given back. */
    readonly steady: number;
    /** Endpoints that the platform may reclaim, without those that it reclaims now. */
    readonly spot: number;
}

/** What a plan for one failure domain starts from. */
export interface DomainSituation {
    /** Endpoints that are wanted here. */
    readonly wanted: number;
    readonly present: DomainFleet;
    /** Whether the platform has had no spot endpoints here for so long that steady ones must take their place. */
    readonly isSpotScarce: boolean;
    readonly scaling: ServiceScaling;
}

/**
 * Decides what to order in a failure domain: spot endpoints as far as they are to be had, and steady ones for a floor.
 *
 * Steady endpoints are given back only once spot ones have taken their place, and ordered in their place while those are
 * scarce.
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
 * Spreads endpoints evenly over failure domains, the cheapest ones first.
 *
 * Where there are several domains, each gets so many that the others hold what is wanted when its spot endpoints are
 * reclaimed: the spare ones cost little, and the wait for new ones would cost callers more.
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
