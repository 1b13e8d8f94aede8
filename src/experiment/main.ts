/**
 * Runs experiments and prints their figures with their spread over seeds.
 *
 * `--list` names them; `--name` and `--policy` choose, all by default; `--json` prints JSON instead of a table.
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { Experiment } from "./experiment.js";
import { experiments } from "./experiments.js";
import { spreadOf } from "./spread.js";
import type { Spread } from "./spread.js";

const defaultSeeds = 5;

interface Report {
    readonly name: string;
    readonly policy: string;
    readonly seeds: number;
    readonly figures: Readonly<Record<string, Spread>>;
}

const parsed = yargs(hideBin(process.argv))
    .option("list", { type: "boolean", default: false, describe: "Name the experiments and their policies." })
    .option("name", { type: "string", choices: experiments.map(each => each.name), describe: "Run this one alone." })
    .option("policy", { type: "string", describe: "Run this policy alone." })
    .option("seeds", { type: "number", default: defaultSeeds, describe: "Number of seeds, from 1 on." })
    .option("json", { type: "boolean", default: false, describe: "Print JSON." })
    .strict()
    .parseSync();

if (parsed.list) {
    experiments.forEach(each => {
        console.log(`${each.name}: ${each.description} [${each.policies.join(", ")}]`);
    });
}
else {
    const chosen = experiments.filter(each => parsed.name === undefined || each.name === parsed.name);
    const reports = chosen.flatMap(each => reportsOf(each, parsed.policy, parsed.seeds));
    if (reports.length === 0) {
        console.error(`No experiment knows the policy ${parsed.policy ?? ""}.`);
        process.exitCode = 1;
    }
    print(reports, parsed.json);
}

function reportsOf(experiment: Experiment, policy: string | undefined, seeds: number): readonly Report[] {
    const names = experiment.policies.filter(each => policy === undefined || each === policy);
    return names.map(name => {
        const runs = Array.from({ length: seeds }, () => 0).map((zero, index) =>
            experiment.run(name, zero + index + 1)
        );
        return { name: experiment.name, policy: name, seeds, figures: spreadOf(runs) };
    });
}

function print(reports: readonly Report[], json: boolean): void {
    if (json) {
        console.log(JSON.stringify(reports, undefined, 4));
        return;
    }
    for (const report of reports) {
        console.log(`${report.name}, ${report.policy}, ${report.seeds} seeds`);
        for (const [figure, { mean, lowest, highest }] of Object.entries(report.figures)) {
            console.log(`    ${figure}: ${round(mean)} (${round(lowest)} to ${round(highest)})`);
        }
    }
}

function round(value: number): string {
    return value.toPrecision(4);
}
