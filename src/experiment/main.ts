/**
 * Runs experiments and prints the mean, minimum and maximum of each metric over the seeds.
 *
 * `--list` lists the experiments; `--name` and `--policy` select them, default all; `--json` prints JSON.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Experiment } from "./experiment.js";
import { experiments } from "./experiments.js";
import { summarizeRuns } from "./seedStatistics.js";
import type { SeedStatistics } from "./seedStatistics.js";

const defaultSeedCount = 5;

/** Metrics of one experiment under one policy; the JSON output. */
interface Report {
    readonly name: string;
    readonly policy: string;
    readonly seeds: number;
    readonly figures: Readonly<Record<string, SeedStatistics>>;
}

const options = yargs(hideBin(process.argv))
    .option("list", { type: "boolean", default: false, describe: "List the experiments and their policies." })
    .option("name", {
        type: "string",
        choices: experiments.map(each => each.name),
        describe: "Run only this experiment.",
    })
    .option("policy", { type: "string", describe: "Run only this policy." })
    .option("seeds", { type: "number", default: defaultSeedCount, describe: "Number of seeds, starting with seed 1." })
    .option("json", { type: "boolean", default: false, describe: "Print JSON." })
    .strict()
    .parseSync();

if (options.list) {
    experiments.forEach(each => {
        console.log(`${each.name}: ${each.description} [${each.policies.join(", ")}]`);
    });
}
else {
    const selected = experiments.filter(each => options.name === undefined || each.name === options.name);
    const reports = selected.flatMap(each => createReports(each, options.policy, options.seeds));
    if (reports.length === 0) {
        console.error(`No selected experiment supports the policy ${options.policy ?? ""}.`);
        process.exitCode = 1;
    }
    printReports(reports, options.json);
}

function createReports(experiment: Experiment, policy: string | undefined, seeds: number): readonly Report[] {
    const policyNames = experiment.policies.filter(each => policy === undefined || each === policy);
    return policyNames.map(name => {
        const runs = Array.from({ length: seeds }, () => 0).map((zero, index) =>
            experiment.run(name, zero + index + 1)
        );
        return { name: experiment.name, policy: name, seeds, figures: summarizeRuns(runs) };
    });
}

function printReports(reports: readonly Report[], json: boolean): void {
    if (json) {
        console.log(JSON.stringify(reports, undefined, 4));
        return;
    }
    for (const report of reports) {
        console.log(`${report.name}, ${report.policy}, ${report.seeds} seeds`);
        for (const [metric, { mean, lowest, highest }] of Object.entries(report.figures)) {
            console.log(`    ${metric}: ${formatValue(mean)} (${formatValue(lowest)} to ${formatValue(highest)})`);
        }
    }
}

function formatValue(value: number): string {
    return value.toPrecision(4);
}
