import { drawArrivals } from "../../../src/experiment/policy/arrivalProcess.js";
import type { LogicalRequest } from "../../../src/experiment/policy/arrivalProcess.js";
import { policies } from "../../../src/experiment/policy/policies.js";
import type { PolicyMetrics } from "../../../src/experiment/policy/policyMetrics.js";
import { simulatePool } from "../../../src/experiment/policy/poolSimulation.js";
import { Scenario } from "../../../src/experiment/policy/scenario.js";
import { createRequestClass } from "../../../src/experiment/policy/workloads/requestClassFactory.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";

/** A small pool with a load of twice its capacity, a third of it in the highest tier. */
class SmallOverload extends Scenario {
    override readonly name = "small-overload";
    override readonly description = "Twice the capacity of one engine.";
    override readonly entryCount = 2;
    override readonly engineCount = 1;
    override readonly engineSpeed = { slots: 8, stepTime: 12, stepTimePerSequence: 1, promptTokensPerStep: 60 };
    override readonly duration = 40_000;

    override drawRequests(random: RandomSource): readonly LogicalRequest[] {
        return [[0, 2.6], [4, 5.4]].flatMap(([tier = 0, perSecond = 0]) =>
            drawArrivals(
                {
                    requestClass: createRequestClass(`tier-${tier}`, tier, 8_000),
                    outputMedian: 80,
                    outputSigma: 0.4,
                    meanPromptTokens: 100,
                    requestsPerSecondAt: () => perSecond,
                    maximumRequestsPerSecond: perSecond,
                    chooseTeam: () => "team",
                },
                this.duration,
                random,
            )
        );
    }
}

function run(name: string, seed: number): PolicyMetrics {
    const policy = policies.find(each => each.name === name);
    if (policy === undefined) {
        throw new RangeError(`Unknown policy ${name}.`);
    }
    return simulatePool(new SmallOverload(), policy, seed);
}

describe("simulatePool", () => {
    it("returns equal metrics for equal seeds and different metrics for different seeds", t => {
        t.deepEqual(run("tiered", 1), run("tiered", 1));
        t.notDeepEqual(run("tiered", 1), run("tiered", 2));
    });

    [1, 2, 3].forEach(seed => {
        it(`protects the highest tier with the tiered policy but not with first-come, seed ${seed}`, t => {
            t.true((run("tiered", seed).attainment["tier-0"] ?? 0) > 0.97);
            t.true((run("first-come", seed).attainment["tier-0"] ?? 1) < 0.8);
        });
    });

    it("wastes no tokens and refuses no request of the highest tier with the oracle", t => {
        const metrics = run("oracle", 1);
        t.is(metrics.wastedShare, 0);
        t.is(metrics.refusedByTier[0], 0);
    });
});
