#!/usr/bin/env node
/**
 * The program `gullhall-load`: sends an open-loop load to entries on loopback and reports what came of it.
 *
 * Exit codes: 0 every answer that was called whole is right, 1 a wrong answer was delivered, 2 wrong command line
 * or plan. It stops by itself; SIGINT ends the sending early.
 */
import { createWriteStream } from "node:fs";
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { loadPlanSchema } from "../experiment/load/loadPlan.js";
import { LoadRun } from "../experiment/load/loadRun.js";
import { loadTable } from "../experiment/load/loadTable.js";
import { LoadTally } from "../experiment/load/loadTally.js";
import { describeFailure } from "../resultCode/resultCode.js";
import { readSettings } from "../settings/readSettings.js";
import { SystemClock } from "../util/clock.js";
import { exitFailure, exitUsage } from "../util/exitCode.js";
import { packageVersion } from "../util/packageVersion.js";
import { usageFaultHandler } from "./usageFault.js";

/** How often progress is shown on a terminal, in milliseconds. */
const progressInterval = 500;

const flags = await yargs(hideBin(process.argv))
    .scriptName("gullhall-load")
    .usage("$0 --plan FILE\n\nSends a load to entries on loopback and reports what came of it.")
    .option("plan", { type: "string", demandOption: true, describe: "Load plan, JSON with comments" })
    .option("json", { type: "boolean", default: false, describe: "Report as JSON" })
    .option("records", { type: "string", describe: "File for one JSON line for each request" })
    .option("check-settings", { type: "boolean", default: false, describe: "Check the plan and end" })
    .version(packageVersion())
    .strict()
    .fail(usageFaultHandler("gullhall-load"))
    .parseAsync();

const plan = await readSettings(flags.plan, loadPlanSchema);
if (plan.err) {
    plan.val.forEach(fault => {
        process.stderr.write(`${describeFailure(fault)}\n`);
    });
    process.exit(exitUsage);
}

if (flags.checkSettings) {
    process.stdout.write("The plan is valid.\n");
    process.exit();
}

const clock = new SystemClock();
const tally = new LoadTally();
const records = flags.records === undefined ? undefined : createWriteStream(flags.records);
const run = new LoadRun(plan.val, clock, outcome => {
    tally.add(outcome);
    records?.write(`${JSON.stringify(outcome)}\n`);
});
const stop = new AbortController();
process.once("SIGINT", () => {
    stop.abort();
});
const progress = setInterval(() => {
    if (process.stderr.isTTY) {
        const { planned, sent, ended } = run.progress;
        process.stderr.write(`\r${sent} of ${planned} sent, ${ended} ended`);
    }
}, progressInterval);
await run.run(stop.signal);
clearInterval(progress);
records?.end();

const figures = tally.figures();
process.stdout.write(`${flags.json ? JSON.stringify({ seed: plan.val.seed, flows: figures }) : loadTable(figures)}\n`);
process.exitCode = figures.some(flow => flow.outcomes.wrong !== undefined) ? exitFailure : 0;
