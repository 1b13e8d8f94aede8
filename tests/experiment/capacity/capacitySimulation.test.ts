import { CapacitySimulation } from "../../../src/experiment/capacity/capacitySimulation.js";
import type { CapacityMetrics } from "../../../src/experiment/capacity/capacitySimulation.js";
import { createPlanner } from "../../../src/experiment/capacity/policies.js";
import { createDemandSeries, scenarios } from "../../../src/experiment/capacity/scenario.js";
import { CapacityPlanner } from "../../../src/process/capacity/capacityPlanner.js";
import type { PoolPlan, PoolView } from "../../../src/process/capacity/capacityPlanner.js";
import { describe, it } from "../../describe.js";

/** Hides the protected tiers from a planner. */
class UnprotectedPlanner extends CapacityPlanner {
    constructor(private readonly planner: CapacityPlanner) {
        super();
    }

    override plan(view: PoolView, now: number): PoolPlan {
        return this.planner.plan({ ...view, protectedTiers: 0 }, now);
    }
}

function simulate(name: string, planner?: CapacityPlanner): CapacityMetrics {
    const scenario = scenarios.find(candidate => candidate.name === name) ?? scenarios[0];
    if (scenario === undefined) {
        throw new Error("No scenario is defined");
    }
    const tokensPerSecondByStep = createDemandSeries(scenario, 1);
    return new CapacitySimulation(
        scenario,
        planner ?? createPlanner("demand", tokensPerSecondByStep),
        tokensPerSecondByStep,
    ).run();
}

describe("CapacityRun", () => {
    for (const name of ["day", "rush", "reclaim", "reclaim-twice", "one-cheap-domain"]) {
        it(`serves all work of the protected tiers and runs lower tiers on cheap endpoints in ${name}`, t => {
            const metrics = simulate(name);
            t.deepEqual(metrics.attainment.slice(0, 2), [1, 1]);
            t.true(metrics.cheapShare >= 0.7);
        });
    }

    it("misses work of the highest tier if the planner protects no tiers", t => {
        const metrics = simulate("one-cheap-domain", new UnprotectedPlanner(createPlanner("demand", [])));
        t.true((metrics.attainment[0] ?? 1) < 1);
    });
});
