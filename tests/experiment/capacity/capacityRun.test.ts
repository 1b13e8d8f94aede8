import { CapacityRun } from "../../../src/experiment/capacity/capacityRun.js";
import type { CapacityFigures } from "../../../src/experiment/capacity/capacityRun.js";
import { plannerOf } from "../../../src/experiment/capacity/policies.js";
import { demandSeries, scenarios } from "../../../src/experiment/capacity/scenario.js";
import { CapacityPlanner } from "../../../src/process/capacity/capacityPlanner.js";
import type { PoolPlan, PoolView } from "../../../src/process/capacity/capacityPlanner.js";
import { describe, it } from "../../describe.js";

/** A planner that does not know which tiers are protected. */
class UnprotectedPlanner extends CapacityPlanner {
    constructor(private readonly planner: CapacityPlanner) {
        super();
    }

    override plan(view: PoolView, now: number): PoolPlan {
        return this.planner.plan({ ...view, protectedTiers: 0 }, now);
    }
}

function figuresOf(name: string, planner?: CapacityPlanner): CapacityFigures {
    const scenario = scenarios.find(candidate => candidate.name === name) ?? scenarios[0];
    if (scenario === undefined) {
        throw new Error("no scenario");
    }
    const demand = demandSeries(scenario, 1);
    return new CapacityRun(scenario, planner ?? plannerOf("demand", demand), demand).run();
}

describe("CapacityRun", () => {
    for (const name of ["day", "rush", "reclaim", "reclaim-twice", "one-cheap-domain"]) {
        it(`keeps the top tiers whole and lower tiers on cheap endpoints in ${name}`, t => {
            const figures = figuresOf(name);
            t.deepEqual(figures.attainment.slice(0, 2), [1, 1]);
            t.true(figures.cheapShare >= 0.7);
        });
    }

    it("shows the loss of a planner that protects nothing", t => {
        const figures = figuresOf("one-cheap-domain", new UnprotectedPlanner(plannerOf("demand", [])));
        t.true((figures.attainment[0] ?? 1) < 1);
    });
});
