import { defaultForecastSettings } from "../../../src/process/capacity/demandForecast.js";
import { DemandPlanner } from "../../../src/process/capacity/demandPlanner.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";
import { createPoolView } from "./createPoolView.js";

/** Time between two plans, in milliseconds. */
const stepMilliseconds = 5_000;

/** Returns the number of endpoints planned at each step of a series of demands. */
function plannedFor(demands: readonly number[]): readonly number[] {
    const planner = new DemandPlanner({
        forecast: { ...defaultForecastSettings, dayLength: 3_600_000 },
        protectedDeviations: 2,
        allDeviations: 0.5,
        holdLoadTimes: 2,
        lookaheadLoadTimes: 2,
    });
    return demands.map((demand, index) => {
        const { domains } = planner.plan(createPoolView({ demand: [0, 0, demand] }), index * stepMilliseconds);
        return domains.reduce((total, { steady, cheap }) => total + steady + cheap, 0);
    });
}

describe("DemandPlanner", () => {
    it("ignores noise in the demand", t => {
        const random = new RandomSource(3);
        const planned = plannedFor([...Array(400).keys()].map(() => random.logNormal(1_000, 0.05))).slice(50);
        const changes = planned.filter((count, index) => index > 0 && count !== planned[index - 1]).length;
        t.true(changes <= 4);
    });

    it("plans for the demand one load time ahead while the demand rises steadily", t => {
        const demands = [...Array(120).keys()].map(index => 500 + 5 * index);
        const planned = plannedFor(demands);
        // One load time is 12 steps.
        for (let index = 40; index < 108; index += 1) {
            t.true((planned[index] ?? 0) * 100 >= (demands[index + 12] ?? 0) * 0.98);
        }
    });

    it("orders at once and releases only after the hold time", t => {
        const planned = plannedFor([...Array(250).keys()].map(index => index >= 20 && index < 30 ? 2_000 : 1_000));
        t.true((planned[25] ?? 0) >= 15);
        t.true((planned[35] ?? 0) >= 20);
        t.is(planned[249], 11);
    });

    it("orders ahead of a rise seen at the same time on earlier days", t => {
        const stepsPerDay = 3_600_000 / stepMilliseconds;
        const demand = (index: number): number => index % stepsPerDay < stepsPerDay / 2 ? 1_000 : 1_500;
        const planned = plannedFor([...Array(3 * stepsPerDay).keys()].map(demand));
        const rise = 2 * stepsPerDay + stepsPerDay / 2;
        t.true((planned[rise - 4] ?? 0) > (planned[rise - 200] ?? 0));
    });
});
