/** Runs seeds of the fault-injection soak, several concurrently, and prints a JSON report for each. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { defaultSize } from "./failedSeeds.js";
import { integerRange } from "./integerRange.js";
import { runSoak } from "./soakRun.js";

const { seeds, from, jobs, network, seconds, controls, entries, engines, desks, callers, unruly, stops } = yargs(
    hideBin(process.argv),
)
    .option("seeds", { type: "number", default: 10, describe: "Number of seeds to run." })
    .option("from", { type: "number", default: 1, describe: "First seed." })
    .option("jobs", { type: "number", default: 3, describe: "Number of seeds to run concurrently." })
    .option("network", {
        type: "number",
        default: 40,
        describe: "Second octet of the loopback addresses of the first job; further jobs use the next ones.",
    })
    .option("seconds", { type: "number", default: 20, describe: "Period in seconds during which faults are injected." })
    .option("controls", { type: "number", default: defaultSize.controls })
    .option("entries", { type: "number", default: defaultSize.entries })
    .option("engines", { type: "number", default: defaultSize.engines })
    .option("desks", { type: "number", default: defaultSize.desks })
    .option("callers", { type: "number", default: 12 })
    .option("unruly", {
        type: "number",
        default: 6,
        describe: "Connections of clients that send requests ahead and read nothing.",
    })
    .option("stops", { type: "number", default: 2, describe: "Rounds of planned stops after the recovery." })
    .strict()
    .parseSync();

const pendingSeeds = [...integerRange(from, seeds)];
let failedCount = 0;

async function runPendingSeeds(jobNetwork: number): Promise<void> {
    for (let seed = pendingSeeds.shift(); seed !== undefined; seed = pendingSeeds.shift()) {
        const folder = await mkdtemp(join(tmpdir(), `gullhall-soak-${seed}-`));
        const report = await runSoak({
            seed,
            network: jobNetwork,
            folder,
            size: { controls, entries, engines, desks },
            callers,
            unrulyClients: unruly,
            faultPeriod: seconds * 1_000,
            stopRounds: stops,
            maximumRecoveryTime: 12_000,
        });
        const { findings, ...rest } = report;
        console.log(JSON.stringify({ seed, findings, ...rest, ...findings.length > 0 ? { folder } : {} }));
        if (findings.length === 0) {
            await rm(folder, { recursive: true, force: true });
        }
        failedCount += findings.length > 0 ? 1 : 0;
    }
}

await Promise.all(integerRange(network, jobs).map(runPendingSeeds));
console.log(`${seeds - failedCount} seeds without findings, ${failedCount} with findings`);
process.exit(failedCount > 0 ? 1 : 0);
