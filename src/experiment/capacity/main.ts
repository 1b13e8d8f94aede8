import yargs from "yargs";
import { CapacitySimulation } from "./capacitySimulation.js";
import type { CapacityMetrics } from "./capacitySimulation.js";
import { createPlanner, policyNames } from "./policies.js";
import type { PolicyName } from "./policies.js";
import { createDemandSeries, scenarios } from "./scenario.js";
import type { Scenario } from "./scenario.js";

/** Mean, minimum and maximum of a metric over the seeds. */
interface SeedStatistics {
    readonly mean: number;
    readonly least: number;
    readonly largest: number;
}

/** Metrics of one scenario and policy over all seeds; the JSON output. */
interface ReportRow {
    readonly scenario: string;
    readonly policy: PolicyName;
    readonly spendToOracle: SeedStatistics;
    readonly attainment: readonly SeedStatistics[];
    readonly cheapShare: SeedStatistics;
    readonly repeatedShare: SeedStatistics;
    readonly orders: SeedStatistics;
    readonly releases: SeedStatistics;
}

function summarize(values: readonly number[]): SeedStatistics {
    const mean = values.reduce((total, value) => total + value, 0) / values.length;
    return { mean, least: Math.min(...values), largest: Math.max(...values) };
}

function simulate(scenario: Scenario, policy: PolicyName, seed: number): CapacityMetrics {
    const tokensPerSecondByStep = createDemandSeries(scenario, seed);
    return new CapacitySimulation(scenario, createPlanner(policy, tokensPerSecondByStep), tokensPerSecondByStep).run();
}

function createRow(scenario: Scenario, policy: PolicyName, seeds: readonly number[]): ReportRow {
    const metrics = seeds.map(seed => simulate(scenario, policy, seed));
    const oracleMetrics = seeds.map(seed => simulate(scenario, "oracle", seed));
    const tiers = [...(metrics[0]?.attainment.keys() ?? [])];
    return {
        scenario: scenario.name,
        policy,
        spendToOracle: summarize(metrics.map(({ spend }, index) => spend / (oracleMetrics[index]?.spend ?? 1))),
        attainment: tiers.map(tier => summarize(metrics.map(({ attainment }) => attainment[tier] ?? 0))),
        cheapShare: summarize(metrics.map(({ cheapShare }) => cheapShare)),
        repeatedShare: summarize(metrics.map(({ repeatedShare }) => repeatedShare)),
        orders: summarize(metrics.map(({ orders }) => orders)),
        releases: summarize(metrics.map(({ releases }) => releases)),
    };
}

function formatStatistics({ mean, least, largest }: SeedStatistics, digits: number): string {
    return `${mean.toFixed(digits)} (${least.toFixed(digits)}–${largest.toFixed(digits)})`;
}

function printRow(row: ReportRow): void {
    const tiers = row.attainment.map(statistics => formatStatistics(statistics, 4)).join(" | ");
    const counts = `${formatStatistics(row.orders, 0)} | ${formatStatistics(row.releases, 0)}`;
    const shares = `${formatStatistics(row.cheapShare, 2)} | ${formatStatistics(row.repeatedShare, 4)}`;
    console.log(
        `| ${row.scenario} | ${row.policy} | ${
            formatStatistics(row.spendToOracle, 3)
        } | ${tiers} | ${shares} | ${counts} |`,
    );
}

function printHeader(): void {
    console.log(
        "| scenario | policy | spend to oracle | tier 0 | tier 1 | tier 2 | tier 3 | lower tiers on cheap"
            + " | repeated | orders | releases |",
    );
    console.log("|---|---|---|---|---|---|---|---|---|---|---|");
}

const options = await yargs(process.argv.slice(2))
    .option("list", { type: "boolean", default: false, describe: "List the scenarios." })
    .option("name", { type: "string", choices: scenarios.map(({ name }) => name), describe: "Run only this scenario." })
    .option("policy", { type: "string", choices: policyNames, describe: "Run only this policy." })
    .option("seeds", { type: "number", default: 5, describe: "Number of seeds, starting with seed 1." })
    .option("json", { type: "boolean", default: false, describe: "Print one JSON object per line." })
    .strict()
    .parseAsync();

const seeds = [...Array(options.seeds).keys()].map(index => index + 1);
const selectedScenarios = scenarios.filter(({ name }) => options.name === undefined || options.name === name);
if (options.list) {
    selectedScenarios.forEach(({ name, description }) => {
        console.log(`${name}: ${description}`);
    });
}
else {
    if (!options.json) {
        printHeader();
    }
    for (const scenario of selectedScenarios) {
        for (const policy of policyNames.filter(name => options.policy === undefined || options.policy === name)) {
            const row = createRow(scenario, policy, seeds);
            if (options.json) {
                console.log(JSON.stringify(row));
            }
            else {
                printRow(row);
            }
        }
    }
}
