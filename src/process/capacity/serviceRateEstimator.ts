import type { WorkRate } from "./capacityPlanner.js";

/** Work of one endpoint during one observation interval. */
export interface ServiceObservation {
    readonly engineKind: string;
    readonly rate: WorkRate;
    readonly fullyLoaded: boolean;
    /** Whether the requests on the endpoint met the targets of their classes. */
    readonly meetsTargets: boolean;
}

/** Weight of an observation that increases the estimate. */
const increaseWeight = 0.2;
/** Weight of an observation that decreases the estimate. */
const decreaseWeight = 0.1;

/**
 * Estimates the work rate of an endpoint of each engine kind at which the request classes meet their targets.
 *
 * Only fully loaded endpoints count. A higher rate increases the estimate if the targets are met; a lower rate always
 * decreases it. The first observation of an engine kind sets the estimate.
 */
export class ServiceRateEstimator {
    private readonly rates = new Map<string, WorkRate>();

    /** Returns the estimate, or the default before the first observation. */
    rateOf(engineKind: string, defaultRate: WorkRate): WorkRate {
        return this.rates.get(engineKind) ?? defaultRate;
    }

    /** Updates the estimate with one observation. */
    observe({ engineKind, rate, fullyLoaded, meetsTargets }: ServiceObservation): void {
        const current = this.rates.get(engineKind);
        if (!fullyLoaded || rate <= 0) {
            return;
        }
        if (current === undefined) {
            this.rates.set(engineKind, rate);
            return;
        }
        const increases = rate > current && meetsTargets;
        const decreases = rate < current;
        const weight = increases ? increaseWeight : decreaseWeight;
        if (increases || decreases) {
            this.rates.set(engineKind, current + weight * (rate - current));
        }
    }
}
