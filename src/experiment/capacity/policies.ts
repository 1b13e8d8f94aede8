import type { CapacityPlanner } from "../../process/capacity/capacityPlanner.js";
import { defaultForecastSettings } from "../../process/capacity/demandForecast.js";
import { DemandPlanner } from "../../process/capacity/demandPlanner.js";
import { FixedFleetPlanner } from "../../process/capacity/fixedFleetPlanner.js";
import { ReactiveThresholdPlanner } from "../../process/capacity/reactiveThresholdPlanner.js";
import { OraclePlanner } from "./oraclePlanner.js";
import { dayLength } from "./scenario.js";

/** Names of the planning policies to compare. */
export const policyNames = ["demand", "fixed", "reactive", "oracle"] as const;

/** Name of a planning policy. */
export type PolicyName = (typeof policyNames)[number];

const fixedEndpointCount = 12;

/** Creates the planner of a policy; only the oracle uses the future demand. */
export function createPlanner(policy: PolicyName, tokensPerSecondByStep: readonly number[]): CapacityPlanner {
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
            return new FixedFleetPlanner(fixedEndpointCount);
        case "reactive":
            return new ReactiveThresholdPlanner({ upper: 0.85, lower: 0.6, minimumChangeInterval: 60_000 });
        case "oracle":
            return new OraclePlanner(tokensPerSecondByStep, -dayLength);
    }
}
