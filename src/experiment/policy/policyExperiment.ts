import { Experiment } from "../experiment.js";
import type { Figures } from "../experiment.js";
import { policies } from "./policies.js";
import type { PolicyFigures } from "./policyFigures.js";
import { simulatePool } from "./poolSimulation.js";
import type { Scenario } from "./scenario.js";

/** A scenario that is run under each of the admission policies. */
export class PolicyExperiment extends Experiment {
    override readonly name: string;
    override readonly description: string;
    override readonly policies = policies.map(policy => policy.name);

    /** @param scenario What happens. */
    constructor(private readonly scenario: Scenario) {
        super();
        this.name = scenario.name;
        this.description = scenario.description;
    }

    override run(policyName: string, seed: number): Figures {
        const policy = policies.find(each => each.name === policyName);
        if (policy === undefined) {
            throw new RangeError(`There is no policy ${policyName}.`);
        }
        return flatten(simulatePool(this.scenario, policy, seed));
    }
}

function flatten(figures: PolicyFigures): Figures {
    return {
        goodput: figures.goodput,
        wastedShare: figures.wastedShare,
        worstTeam: figures.worstTeam,
        worstSmallTeam: figures.worstSmallTeam,
        preemptions: figures.preemptions,
        attemptsPerDemand: figures.attemptsPerDemand,
        ...prefixed("attainment", figures.attainment),
        ...prefixed("secondsWithoutService", figures.longestWithoutService),
        ...prefixed("refusedOfTier", Object.fromEntries(figures.refusedByTier.entries())),
    };
}

function prefixed(prefix: string, values: Readonly<Record<string, number>>): Figures {
    return Object.fromEntries(Object.entries(values).map(([name, value]) => [`${prefix}.${name}`, value]));
}
