import { planFor } from "../../process/capacity/allocation.js";
import { CapacityPlanner } from "../../process/capacity/capacityPlanner.js";
import type { PoolPlan, PoolView } from "../../process/capacity/capacityPlanner.js";
import { endpointsFor } from "../../process/capacity/demandPlanner.js";
import type { Milliseconds } from "../../util/clock.js";
import { protectedTierCount, tierLoads, timeStep } from "./scenario.js";

/** Upper bound to compare planners with: it knows the future demand, but not the future reclaims and refusals. */
export class OraclePlanner extends CapacityPlanner {
    private readonly protectedFraction = tierLoads.slice(0, protectedTierCount).reduce(
        (total, tier) => total + tier.demandFraction,
        0,
    );

    /**
     * @param tokensPerSecondByStep Demand by time step.
     * @param start Time of the first step.
     */
    constructor(private readonly tokensPerSecondByStep: readonly number[], private readonly start: Milliseconds) {
        super();
    }

    override plan(view: PoolView, now: Milliseconds): PoolPlan {
        const peakWithinLoadTime = this.peakDemandWithin(now, view.loadTime + 2 * timeStep);
        const peakWithinTwoLoadTimes = this.peakDemandWithin(now, 2 * view.loadTime + 2 * timeStep);
        const existingEndpoints = view.fleet.filter(({ state }) => state === "live" || state === "starting").length;
        const endpoints = Math.max(
            endpointsFor(peakWithinLoadTime, view),
            Math.min(existingEndpoints, endpointsFor(peakWithinTwoLoadTimes, view)),
        );
        const protectedEndpoints = endpointsFor(peakWithinTwoLoadTimes * this.protectedFraction, view);
        return planFor({ endpoints, protectedEndpoints }, view, [{
            kind: "demand",
            expected: peakWithinLoadTime,
            endpoints,
        }]);
    }

    private peakDemandWithin(now: Milliseconds, horizon: Milliseconds): number {
        const firstStep = Math.round((now - this.start) / timeStep);
        const lastStep = Math.ceil((now - this.start + horizon) / timeStep);
        return Math.max(...this.tokensPerSecondByStep.slice(firstStep, lastStep + 1));
    }
}
