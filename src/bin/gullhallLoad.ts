#!/usr/bin/env node
/**
 * `gullhall-load`: generates open-loop load on entries on loopback addresses and reports the results.
 *
 * Exit codes: 0 if every response that was reported as complete is correct, 1 if a wrong response was delivered, 2 if
 * the command line or plan is invalid. The program exits when the plan is finished; SIGINT stops sending early.
 */
import { createWriteStream } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { loadPlanSchema } from "../experiment/load/loadPlan.js";
import { LoadRun } from "../experiment/load/loadRun.js";
import { LoadStatistics } from "../experiment/load/loadStatistics.js";
import { formatLoadTable } from "../experiment/load/loadTable.js";
import { formatFailure } from "../resultCode/resultCode.js";
import { readSettings } from "../settings/readSettings.js";
import { SystemClock } from "../util/clock.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import { packageVersion } from "../util/packageVersion.js";
import { usageErrorHandler } from "./usageError.js";

/** How often progress is printed on a terminal. */
const progressIntervalMilliseconds = 500;

const flags = await yargs(hideBin(process.argv))
    .scriptName("gullhall-load")
    .usage("$0 --plan FILE\n\nGenerates load on entries on loopback addresses and reports the results.")
    .option("plan", { type: "string", demandOption: true, describe: "Load plan, JSON with comments" })
    .option("json", { type: "boolean", default: false, describe: "Print the report as JSON" })
    .option("records", { type: "string", describe: "File that receives one JSON line per request" })
    .option("check-settings", { type: "boolean", default: false, describe: "Validate the plan and exit" })
    .version(packageVersion())
    .strict()
    .fail(usageErrorHandler("gullhall-load"))
    .parseAsync();

const plan = await readSettings(flags.plan, loadPlanSchema);
if (plan.err) {
    plan.val.forEach(fault => {
        process.stderr.write(`${formatFailure(fault)}\n`);
    });
    process.exit(exitUsage);
}

if (flags.checkSettings) {
    process.stdout.write("The plan is valid.\n");
    process.exit();
}

const clock = new SystemClock();
const tally = new LoadStatistics();
const recordStream = flags.records === undefined ? undefined : createWriteStream(flags.records);
const loadRun = new LoadRun(plan.val, clock, outcome => {
    tally.add(outcome);
    recordStream?.write(`${JSON.stringify(outcome)}\n`);
});
const stopController = new AbortController();
process.once("SIGINT", () => {
    stopController.abort();
});
const progressTimer = setInterval(() => {
    if (process.stderr.isTTY) {
        const { planned, sent, ended } = loadRun.progress;
        process.stderr.write(`\r${sent} of ${planned} sent, ${ended} ended`);
    }
}, progressIntervalMilliseconds);
await loadRun.run(stopController.signal);
clearInterval(progressTimer);
recordStream?.end();

const flowFigures = tally.reports();
process.stdout.write(
    `${flags.json ? JSON.stringify({ seed: plan.val.seed, flows: flowFigures }) : formatLoadTable(flowFigures)}\n`,
);
process.exitCode = flowFigures.some(flow => flow.outcomes.wrong !== undefined) ? exitFailure : 0;
