import type { CapacityPlanner } from "../../process/capacity/capacityPlanner.js";
import { defaultForecastSettings } from "../../process/capacity/demandForecast.js";
import { DemandPlanner } from "../../process/capacity/demandPlanner.js";
import { FixedFleetPlanner } from "../../process/capacity/fixedFleetPlanner.js";
import { ReactiveThresholdPlanner } from "../../process/capacity/reactiveThresholdPlanner.js";
import { OraclePlanner } from "./oraclePlanner.js";
import { dayLength } from "./scenario.js";

/** Ways to plan that the experiments compare. */
export const policyNames = ["demand", "fixed", "reactive", "oracle"] as const;

/** Name of a way to plan. */
export type PolicyName = (typeof policyNames)[number];

const fixedEndpoints = 12;

/** Makes the planner of a policy; the oracle alone looks at the demand to come. */
export function plannerOf(policy: PolicyName, demand: readonly number[]): CapacityPlanner {
    switch (policy) {
        case "demand":
            return new DemandPlanner({
                forecast: { ...defaultForecastSettings, dayLength, buckets: 96 },
                protectedDeviations: 2,
                allDeviations: 0.5,
                holdLoadTimes: 2,
                lookaheadLoadTimes: 2,
            });
        case "fixed":
            return new FixedFleetPlanner(fixedEndpoints);
        case "reactive":
            return new ReactiveThresholdPlanner({ upper: 0.85, lower: 0.6, minimumChangeInterval: 60_000 });
        case "oracle":
            return new OraclePlanner(demand, -dayLength);
    }
}
