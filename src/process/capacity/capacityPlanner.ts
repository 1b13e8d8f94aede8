import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";

/** Output and prompt tokens a second, or requests a second for plain services. */
export type WorkRate = number;

/** What a failure domain offers at present. */
export interface DomainOffer {
    readonly failureDomain: string;
    readonly steady: boolean;
    /** False too while cheap endpoints are being reclaimed there or were refused lately. */
    readonly cheap: boolean;
}

/** An endpoint that exists or was ordered. */
export interface FleetMember {
    readonly endpoint: string;
    readonly failureDomain: string;
    readonly cheap: boolean;
    readonly state: "ordered" | "starting" | "live" | "draining" | "leaving";
}

/** What a planner knows of one pool. */
export interface PoolView {
    readonly pool: string;
    readonly engineKind: string;
    readonly offers: readonly DomainOffer[];
    /** Prices of an endpoint in millionths of the currency unit an hour. */
    readonly steadyPricePerHour: number;
    readonly cheapPricePerHour: number;
    readonly spendLimitPerHour: number | undefined;
    readonly minimumReplicas: number;
    readonly maximumReplicas: number;
    /** Work that one endpoint does while the classes meet their targets, as learnt. */
    readonly serviceRate: WorkRate;
    /** From an order to the first work of the endpoint. */
    readonly loadTime: Milliseconds;
    /** Work that arrives at present, by tier. */
    readonly demand: readonly WorkRate[];
    /** Tiers below this number stay whole through the loss of one failure domain of cheap endpoints. */
    readonly protectedTiers: number;
    readonly fleet: readonly FleetMember[];
}

/** How many endpoints of a failure domain are wanted. */
export interface DomainPlan {
    readonly failureDomain: string;
    readonly steady: number;
    readonly cheap: number;
}

/** Why a plan is as it is. */
export type PlanReason =
    | { readonly kind: "demand"; readonly expected: WorkRate; readonly endpoints: number; }
    | { readonly kind: "domainLoss"; readonly protectedEndpoints: number; readonly largestCheapDomain: number; }
    | { readonly kind: "releaseHeld"; readonly endpoints: number; }
    | { readonly kind: "cheapNotOffered"; readonly failureDomain: string; }
    | { readonly kind: "spendLimit"; readonly missing: number; readonly firstTierAtRisk: number; }
    | { readonly kind: "maximumReplicas"; readonly missing: number; }
    | { readonly kind: "fixed"; readonly endpoints: number; }
    | { readonly kind: "threshold"; readonly utilisation: number; };

/** What a planner wants of one pool. */
export interface PoolPlan {
    readonly pool: string;
    readonly domains: readonly DomainPlan[];
    readonly spendPerHour: number;
    readonly reasons: readonly PlanReason[];
}

/** Decides how many endpoints a pool should have, where, and of which kind. */
export abstract class CapacityPlanner {
    /** Plans one pool; to be asked at regular intervals, because implementations learn from the views. */
    abstract plan(view: PoolView, now: UnixMilliseconds): PoolPlan;
}

/** One line for people that says why a plan is as it is. */
export function describeReason(reason: PlanReason): string {
    switch (reason.kind) {
        case "demand":
            return `demand of ${Math.round(reason.expected)}/s needs ${reason.endpoints} endpoints`;
        case "domainLoss":
            return `${reason.protectedEndpoints} endpoints for the top tiers must outlive the loss of `
                + `${reason.largestCheapDomain} cheap ones`;
        case "releaseHeld":
            return `${reason.endpoints} endpoints are kept for now, because they were needed a moment ago or will be`;
        case "cheapNotOffered":
            return `no cheap endpoints in ${reason.failureDomain}`;
        case "spendLimit":
            return `the spend limit leaves ${reason.missing} endpoints out; tier ${reason.firstTierAtRisk} suffers first`;
        case "maximumReplicas":
            return `the largest number of replicas leaves ${reason.missing} endpoints out`;
        case "fixed":
            return `a fixed fleet of ${reason.endpoints} endpoints`;
        case "threshold":
            return `utilisation is ${Math.round(reason.utilisation * 100)}%`;
    }
}
