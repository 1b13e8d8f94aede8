import { priceOf, spreadOverDomains } from "./allocation.js";
import { CapacityPlanner } from "./capacityPlanner.js";
import type { PoolPlan, PoolView } from "./capacityPlanner.js";

/** Baseline planner that always plans the same number of steady endpoints. */
export class FixedFleetPlanner extends CapacityPlanner {
    constructor(private readonly endpoints: number) {
        super();
    }

    override plan(view: PoolView): PoolPlan {
        const mix = { steady: this.endpoints, cheap: 0 };
        return {
            pool: view.pool,
            domains: spreadOverDomains(mix, view),
            spendPerHour: priceOf(mix, view),
            reasons: [{ kind: "fixed", endpoints: this.endpoints }],
        };
    }
}
