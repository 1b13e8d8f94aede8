/**
 * Quickstart: runs a cluster on this machine, with stand-ins for external systems, and sends requests of each kind
 * through it. Prints a table of the steps and a latency histogram. Exit codes: 0 every step had the expected result, 1
 * otherwise.
 */
import { SystemClock } from "../util/clock.js";
import { ClassLatencies } from "./classLatencies.js";
import { Cluster } from "./cluster.js";
import { QuickstartScenario } from "./quickstartScenario.js";
import { StepTable } from "./stepTable.js";

const clock = new SystemClock();
const table = new StepTable(clock);
const latencies = new ClassLatencies();
const cluster = new Cluster();

try {
    await table.run("start 3 control and 3 entry processes", async () => {
        await cluster.start();
        return cluster.entries.length + cluster.controls.length;
    }, processes => processes === 6);
    await new QuickstartScenario({ cluster, table, latencies, clock }).run();
}
finally {
    await table.run("stop every process gracefully", async () => {
        await cluster[Symbol.asyncDispose]();
        return cluster.exitCodes.map(code => code ?? "killed").join(" ");
    }, codes => /^0( 0)*$/.test(codes));
    table.print();
    process.stdout.write(`\n${latencies.lines().join("\n")}\n`);
    process.exitCode = table.allAsExpected ? 0 : 1;
}
