import { Experiment } from "../experiment.js";
import type { Metrics } from "../experiment.js";
import { policies } from "./policies.js";
import type { PolicyMetrics } from "./policyMetrics.js";
import { simulatePool } from "./poolSimulation.js";
import type { Scenario } from "./scenario.js";

/** Experiment that runs one scenario under an admission policy. */
export class PolicyExperiment extends Experiment {
    override readonly name: string;
    override readonly description: string;
    override readonly policies = policies.map(policy => policy.name);

    /** @param scenario The scenario to run. */
    constructor(private readonly scenario: Scenario) {
        super();
        this.name = scenario.name;
        this.description = scenario.description;
    }

    override run(policyName: string, seed: number): Metrics {
        const policy = policies.find(each => each.name === policyName);
        if (policy === undefined) {
            throw new RangeError(`Unknown policy ${policyName}.`);
        }
        return flattenMetrics(simulatePool(this.scenario, policy, seed));
    }
}

function flattenMetrics(metrics: PolicyMetrics): Metrics {
    return {
        goodput: metrics.goodput,
        wastedShare: metrics.wastedShare,
        worstTeam: metrics.worstTeam,
        worstSmallTeam: metrics.worstSmallTeam,
        preemptions: metrics.preemptions,
        attemptsPerDemand: metrics.attemptsPerRequest,
        ...prefixKeys("attainment", metrics.attainment),
        ...prefixKeys("secondsWithoutService", metrics.longestSecondsWithoutService),
        ...prefixKeys("refusedOfTier", Object.fromEntries(metrics.refusedByTier.entries())),
    };
}

function prefixKeys(prefix: string, values: Readonly<Record<string, number>>): Metrics {
    return Object.fromEntries(Object.entries(values).map(([name, value]) => [`${prefix}.${name}`, value]));
}
