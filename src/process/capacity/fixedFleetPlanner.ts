import { priceOf, spread } from "./allocation.js";
import { CapacityPlanner } from "./capacityPlanner.js";
import type { PoolPlan, PoolView } from "./capacityPlanner.js";

/** Baseline: the same number of steady endpoints at all times. */
export class FixedFleetPlanner extends CapacityPlanner {
    constructor(private readonly endpoints: number) {
        super();
    }

    override plan(view: PoolView): PoolPlan {
        const mix = { steady: this.endpoints, cheap: 0 };
        return {
            pool: view.pool,
            domains: spread(mix, view),
            spendPerHour: priceOf(mix, view),
            reasons: [{ kind: "fixed", endpoints: this.endpoints }],
        };
    }
}
