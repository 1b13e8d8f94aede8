import { planFor } from "../../process/capacity/allocation.js";
import { CapacityPlanner } from "../../process/capacity/capacityPlanner.js";
import type { PoolPlan, PoolView } from "../../process/capacity/capacityPlanner.js";
import { endpointsFor } from "../../process/capacity/demandPlanner.js";
import type { Milliseconds } from "../../util/clock.js";
import { protectedTiers, tierLoads, timeStep } from "./scenario.js";

/** Bound of what any planner could do: it knows the demand to come, but neither reclaims nor refusals. */
export class OraclePlanner extends CapacityPlanner {
    private readonly protectedShare = tierLoads.slice(0, protectedTiers).reduce((total, tier) => total + tier.share, 0);

    /** @param demand Demand by step, in tokens a second; step 0 is at time `start`. */
    constructor(private readonly demand: readonly number[], private readonly start: Milliseconds) {
        super();
    }

    override plan(view: PoolView, now: Milliseconds): PoolPlan {
        const coming = this.highest(now, view.loadTime + 2 * timeStep);
        const later = this.highest(now, 2 * view.loadTime + 2 * timeStep);
        const existing = view.fleet.filter(({ state }) => state === "live" || state === "starting").length;
        const endpoints = Math.max(endpointsFor(coming, view), Math.min(existing, endpointsFor(later, view)));
        const protectedEndpoints = endpointsFor(later * this.protectedShare, view);
        return planFor({ endpoints, protectedEndpoints }, view, [{ kind: "demand", expected: coming, endpoints }]);
    }

    private highest(now: Milliseconds, horizon: Milliseconds): number {
        const first = Math.round((now - this.start) / timeStep);
        const last = Math.ceil((now - this.start + horizon) / timeStep);
        return Math.max(...this.demand.slice(first, last + 1));
    }
}
