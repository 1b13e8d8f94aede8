/** Plays seeds of the fault soak, some beside each other, and prints what was found. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { usualSize } from "./failedSeeds.js";
import { numbersFrom } from "./numbersFrom.js";
import { runSoak } from "./soakRun.js";

const { seeds, from, jobs, network, seconds, controls, entries, engines, desks, callers } = yargs(hideBin(process.argv))
    .option("seeds", { type: "number", default: 10, describe: "Number of seeds to play." })
    .option("from", { type: "number", default: 1, describe: "First seed." })
    .option("jobs", { type: "number", default: 3, describe: "Seeds to play beside each other." })
    .option("network", {
        type: "number",
        default: 40,
        describe: "Second number of the loopback addresses; others follow.",
    })
    .option("seconds", { type: "number", default: 20, describe: "How long faults begin." })
    .option("controls", { type: "number", default: usualSize.controls })
    .option("entries", { type: "number", default: usualSize.entries })
    .option("engines", { type: "number", default: usualSize.engines })
    .option("desks", { type: "number", default: usualSize.desks })
    .option("callers", { type: "number", default: 12 })
    .strict()
    .parseSync();

const waiting = [...numbersFrom(from, seeds)];
let failed = 0;

async function playSeeds(ownNetwork: number): Promise<void> {
    for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
        const folder = await mkdtemp(join(tmpdir(), `gullhall-soak-${seed}-`));
        const report = await runSoak({
            seed,
            network: ownNetwork,
            folder,
            size: { controls, entries, engines, desks },
            callers,
            faultTime: seconds * 1_000,
            recoveryLimit: 12_000,
        });
        const { findings, ...rest } = report;
        console.log(JSON.stringify({ seed, findings, ...rest, ...findings.length > 0 ? { folder } : {} }));
        if (findings.length === 0) {
            await rm(folder, { recursive: true, force: true });
        }
        failed += findings.length > 0 ? 1 : 0;
    }
}

await Promise.all(numbersFrom(network, jobs).map(playSeeds));
console.log(`${seeds - failed} seeds without findings, ${failed} with findings`);
process.exit(failed > 0 ? 1 : 0);
