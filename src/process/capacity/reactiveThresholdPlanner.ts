import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { planFor } from "./allocation.js";
import { CapacityPlanner } from "./capacityPlanner.js";
import type { PoolPlan, PoolView } from "./capacityPlanner.js";
import { endpointsFor, sumRates } from "./demandPlanner.js";

/** Settings of a {@link ReactiveThresholdPlanner}; utilisations are fractions. */
export interface ThresholdSettings {
    /** Above this utilisation endpoints are added. */
    readonly upper: number;
    /** Below this utilisation endpoints are released. */
    readonly lower: number;
    /** Minimum time between two changes. */
    readonly minimumChangeInterval: Milliseconds;
}

/** Baseline planner that adds or releases a tenth of the endpoints when the utilisation crosses a threshold. */
export class ReactiveThresholdPlanner extends CapacityPlanner {
    private endpoints: number | undefined;
    private changedAt: UnixMilliseconds = -Infinity;

    constructor(private readonly settings: ThresholdSettings) {
        super();
    }

    override plan(view: PoolView, now: UnixMilliseconds): PoolPlan {
        const demand = sumRates(view.demand);
        const previousEndpoints = this.endpoints ?? endpointsFor(demand / this.settings.upper, view);
        const utilisation = demand / (previousEndpoints * view.serviceRate);
        const step = Math.max(1, Math.round(previousEndpoints / 10));
        let endpoints = previousEndpoints;
        if (now - this.changedAt >= this.settings.minimumChangeInterval) {
            endpoints += utilisation > this.settings.upper ? step : 0;
            endpoints -= utilisation < this.settings.lower ? step : 0;
        }
        endpoints = Math.max(1, view.minimumReplicas, endpoints);
        this.changedAt = endpoints === previousEndpoints ? this.changedAt : now;
        this.endpoints = endpoints;
        const protectedDemand = sumRates(view.demand.slice(0, view.protectedTiers));
        const protectedEndpoints = endpointsFor(protectedDemand, view);
        return planFor({ endpoints, protectedEndpoints }, view, [{ kind: "threshold", utilisation }]);
    }
}
