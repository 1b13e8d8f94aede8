import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";

/** Output and prompt tokens per second; for services other than models, requests per second. */
export type WorkRate = number;

/** Which kinds of endpoints a failure domain offers at present. */
export interface DomainOffer {
    readonly failureDomain: string;
    readonly steady: boolean;
    /** Also false while cheap endpoints are being reclaimed there and for a while after they were refused. */
    readonly cheap: boolean;
}

/** An endpoint that exists or is ordered. */
export interface FleetMember {
    readonly endpoint: string;
    readonly failureDomain: string;
    readonly cheap: boolean;
    readonly state: "ordered" | "starting" | "live" | "draining" | "leaving";
}

/** The state of one pool as input of a planner. */
export interface PoolView {
    readonly pool: string;
    readonly engineKind: string;
    readonly offers: readonly DomainOffer[];
    /** Prices of an endpoint, in millionths of the currency unit per hour. */
    readonly steadyPricePerHour: number;
    readonly cheapPricePerHour: number;
    readonly spendLimitPerHour: number | undefined;
    readonly minimumReplicas: number;
    readonly maximumReplicas: number;
    /** Estimated work rate of one endpoint at which the request classes meet their targets. */
    readonly serviceRate: WorkRate;
    /** Time from the order of an endpoint to its first request. */
    readonly loadTime: Milliseconds;
    /** Rate of arriving work at present, by tier; tier 0 is the highest. */
    readonly demand: readonly WorkRate[];
    /** Number of the highest tiers that keep enough endpoints when one failure domain loses all its cheap endpoints. */
    readonly protectedTiers: number;
    readonly fleet: readonly FleetMember[];
}

/** Number of endpoints planned in one failure domain, by kind. */
export interface DomainPlan {
    readonly failureDomain: string;
    readonly steady: number;
    readonly cheap: number;
}

/** A reason for the number or kind of endpoints in a plan. */
export type PlanReason =
    | { readonly kind: "demand"; readonly expected: WorkRate; readonly endpoints: number; }
    | { readonly kind: "domainLoss"; readonly protectedEndpoints: number; readonly largestCheapDomain: number; }
    | { readonly kind: "releaseHeld"; readonly endpoints: number; }
    | { readonly kind: "cheapNotOffered"; readonly failureDomain: string; }
    | { readonly kind: "spendLimit"; readonly missing: number; readonly firstTierAtRisk: number; }
    | { readonly kind: "maximumReplicas"; readonly missing: number; }
    | { readonly kind: "fixed"; readonly endpoints: number; }
    | { readonly kind: "threshold"; readonly utilisation: number; };

/** The endpoints planned for one pool. */
export interface PoolPlan {
    readonly pool: string;
    readonly domains: readonly DomainPlan[];
    /** Price of the planned endpoints, in millionths of the currency unit per hour. */
    readonly spendPerHour: number;
    readonly reasons: readonly PlanReason[];
}

/** Decides how many endpoints a pool should have, by failure domain and kind. */
export abstract class CapacityPlanner {
    /** Plans one pool; must be called at regular intervals, because implementations build statistics from the views. */
    abstract plan(view: PoolView, now: UnixMilliseconds): PoolPlan;
}

/** Describes a reason in one line for operators. */
export function describeReason(reason: PlanReason): string {
    switch (reason.kind) {
        case "demand":
            return `demand of ${Math.round(reason.expected)}/s needs ${reason.endpoints} endpoints`;
        case "domainLoss":
            return `${reason.protectedEndpoints} endpoints for the protected tiers must remain after the loss of `
                + `${reason.largestCheapDomain} cheap ones`;
        case "releaseHeld":
            return `${reason.endpoints} endpoints are kept because they were needed recently or will be needed soon`;
        case "cheapNotOffered":
            return `no cheap endpoints in ${reason.failureDomain}`;
        case "spendLimit":
            return `the spend limit excludes ${reason.missing} endpoints; tier ${reason.firstTierAtRisk} is affected first`;
        case "maximumReplicas":
            return `the maximum number of replicas excludes ${reason.missing} endpoints`;
        case "fixed":
            return `a fixed fleet of ${reason.endpoints} endpoints`;
        case "threshold":
            return `utilisation is ${Math.round(reason.utilisation * 100)}%`;
    }
}
