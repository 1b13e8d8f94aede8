import yargs from "yargs";
import { CapacityRun } from "./capacityRun.js";
import type { CapacityFigures } from "./capacityRun.js";
import { plannerOf, policyNames } from "./policies.js";
import type { PolicyName } from "./policies.js";
import { demandSeries, scenarios } from "./scenario.js";
import type { Scenario } from "./scenario.js";

/** Mean, least and largest value of a figure over the seeds. */
interface Spread {
    readonly mean: number;
    readonly least: number;
    readonly largest: number;
}

/** Figures of one scenario and policy over all seeds. */
interface Row {
    readonly scenario: string;
    readonly policy: PolicyName;
    readonly spendToOracle: Spread;
    readonly attainment: readonly Spread[];
    readonly cheapShare: Spread;
    readonly repeatedShare: Spread;
    readonly orders: Spread;
    readonly releases: Spread;
}

function spreadOf(values: readonly number[]): Spread {
    const mean = values.reduce((total, value) => total + value, 0) / values.length;
    return { mean, least: Math.min(...values), largest: Math.max(...values) };
}

function runOnce(scenario: Scenario, policy: PolicyName, seed: number): CapacityFigures {
    const demand = demandSeries(scenario, seed);
    return new CapacityRun(scenario, plannerOf(policy, demand), demand).run();
}

function measure(scenario: Scenario, policy: PolicyName, seeds: readonly number[]): Row {
    const figures = seeds.map(seed => runOnce(scenario, policy, seed));
    const oracle = seeds.map(seed => runOnce(scenario, "oracle", seed));
    const tiers = [...(figures[0]?.attainment.keys() ?? [])];
    return {
        scenario: scenario.name,
        policy,
        spendToOracle: spreadOf(figures.map(({ spend }, index) => spend / (oracle[index]?.spend ?? 1))),
        attainment: tiers.map(tier => spreadOf(figures.map(({ attainment }) => attainment[tier] ?? 0))),
        cheapShare: spreadOf(figures.map(({ cheapShare }) => cheapShare)),
        repeatedShare: spreadOf(figures.map(({ repeatedShare }) => repeatedShare)),
        orders: spreadOf(figures.map(({ orders }) => orders)),
        releases: spreadOf(figures.map(({ releases }) => releases)),
    };
}

function text({ mean, least, largest }: Spread, digits: number): string {
    return `${mean.toFixed(digits)} (${least.toFixed(digits)}–${largest.toFixed(digits)})`;
}

function print(row: Row): void {
    const tiers = row.attainment.map(spread => text(spread, 4)).join(" | ");
    const counts = `${text(row.orders, 0)} | ${text(row.releases, 0)}`;
    const shares = `${text(row.cheapShare, 2)} | ${text(row.repeatedShare, 4)}`;
    console.log(
        `| ${row.scenario} | ${row.policy} | ${text(row.spendToOracle, 3)} | ${tiers} | ${shares} | ${counts} |`,
    );
}

function printHead(): void {
    console.log(
        "| scenario | policy | spend to oracle | tier 0 | tier 1 | tier 2 | tier 3 | lower tiers on cheap"
            + " | repeated | orders | releases |",
    );
    console.log("|---|---|---|---|---|---|---|---|---|---|---|");
}

const options = await yargs(process.argv.slice(2))
    .option("list", { type: "boolean", default: false, describe: "Names the scenarios." })
    .option("name", { type: "string", choices: scenarios.map(({ name }) => name), describe: "Runs one scenario." })
    .option("policy", { type: "string", choices: policyNames, describe: "Runs one policy." })
    .option("seeds", { type: "number", default: 5, describe: "Number of seeds, from 1." })
    .option("json", { type: "boolean", default: false, describe: "Writes one JSON object a line." })
    .strict()
    .parseAsync();

const seeds = [...Array(options.seeds).keys()].map(index => index + 1);
const chosen = scenarios.filter(({ name }) => options.name === undefined || options.name === name);
if (options.list) {
    chosen.forEach(({ name, text: description }) => {
        console.log(`${name}: ${description}`);
    });
}
else {
    if (!options.json) {
        printHead();
    }
    for (const scenario of chosen) {
        for (const policy of policyNames.filter(name => options.policy === undefined || options.policy === name)) {
            const row = measure(scenario, policy, seeds);
            if (options.json) {
                console.log(JSON.stringify(row));
            }
            else {
                print(row);
            }
        }
    }
}
