import type { Experiment } from "./experiment.js";
import { PolicyExperiment } from "./policy/policyExperiment.js";
import { DomainLoss } from "./policy/workloads/domainLoss.js";
import { EnrolmentRush } from "./policy/workloads/enrolmentRush.js";
import { OneSidedRush } from "./policy/workloads/oneSidedRush.js";
import { StormNight } from "./policy/workloads/stormNight.js";
import { TeamFlood } from "./policy/workloads/teamFlood.js";

/** All experiments of the program. */
export const experiments: readonly Experiment[] = [
    new PolicyExperiment(new EnrolmentRush()),
    new PolicyExperiment(new StormNight()),
    new PolicyExperiment(new TeamFlood()),
    new PolicyExperiment(new DomainLoss()),
    new PolicyExperiment(new OneSidedRush()),
];
