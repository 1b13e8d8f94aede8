import { policies } from "../../../src/experiment/policy/policies.js";
import type { PolicyFigures } from "../../../src/experiment/policy/policyFigures.js";
import { simulatePool } from "../../../src/experiment/policy/poolSimulation.js";
import { Scenario } from "../../../src/experiment/policy/scenario.js";
import { drawDemands } from "../../../src/experiment/policy/workload.js";
import type { Demand } from "../../../src/experiment/policy/workload.js";
import { buildClass } from "../../../src/experiment/policy/workloads/classBuilder.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";

/** A small pool that is asked for twice its capacity, a third of it for the top tier. */
class SmallOverload extends Scenario {
    override readonly name = "small-overload";
    override readonly description = "Twice the capacity of one engine.";
    override readonly entries = 2;
    override readonly engines = 1;
    override readonly engineSpeed = { slots: 8, stepTime: 12, stepTimePerStream: 1, promptTokensPerStep: 60 };
    override readonly duration = 40_000;

    override demands(random: RandomSource): readonly Demand[] {
        return [[0, 2.6], [4, 5.4]].flatMap(([tier = 0, perSecond = 0]) =>
            drawDemands(
                {
                    requestClass: buildClass(`tier-${tier}`, tier, 8_000),
                    outputMedian: 80,
                    outputSigma: 0.4,
                    promptTokens: 100,
                    rate: () => perSecond,
                    largestRate: perSecond,
                    team: () => "team",
                },
                this.duration,
                random,
            )
        );
    }
}

function run(name: string, seed: number): PolicyFigures {
    const policy = policies.find(each => each.name === name);
    if (policy === undefined) {
        throw new RangeError(`There is no policy ${name}.`);
    }
    return simulatePool(new SmallOverload(), policy, seed);
}

describe("simulatePool", () => {
    it("gives equal figures for equal seeds and others for another", t => {
        t.deepEqual(run("tiered", 1), run("tiered", 1));
        t.notDeepEqual(run("tiered", 1), run("tiered", 2));
    });

    [1, 2, 3].forEach(seed => {
        it(`shows that tiers protect the top class where order of arrival does not, seed ${seed}`, t => {
            t.true((run("tiered", seed).attainment["tier-0"] ?? 0) > 0.97);
            t.true((run("first-come", seed).attainment["tier-0"] ?? 1) < 0.8);
        });
    });

    it("lets the oracle waste nothing and refuse nothing of the top tier", t => {
        const figures = run("oracle", 1);
        t.is(figures.wastedShare, 0);
        t.is(figures.refusedByTier[0], 0);
    });
});
