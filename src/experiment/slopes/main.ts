/**
 * `npm run slopes`: measures how resource usage and times grow with load and size on this machine, as the basis of
 * docs/CAPACITY.md, and prints the measurements with their linear fits as JSON.
 *
 * All measurements use the loopback interface, real `gullhall` programs and small stand-ins, with fewer than a hundred
 * processes. `--only NAME` runs one group of measurements.
 */
import { cpus } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SystemClock } from "../../util/clock.js";
import type { Clock } from "../../util/clock.js";
import { measureControlSlopes } from "./controlSlopes.js";
import { measureDecisionSlopes } from "./decisionSlopes.js";
import { measureEntrySlopes } from "./entrySlopes.js";
import { measureHostedListSlopes } from "./hostedListSlopes.js";
import { measureLogSlopes } from "./logSlopes.js";
import { measureRequestSlopes } from "./requestSlopes.js";
import { measureSubsetBalance } from "./subsetBalance.js";
import { measureTeamSlopes } from "./teamSlopes.js";

const measurementGroups: Readonly<Record<string, (clock: Clock) => Promise<unknown>>> = {
    control: measureControlSlopes,
    teams: measureTeamSlopes,
    entry: measureEntrySlopes,
    request: measureRequestSlopes,
    log: measureLogSlopes,
    decisions: clock => Promise.resolve(measureDecisionSlopes(clock)),
    hostedList: measureHostedListSlopes,
    balance: () => Promise.resolve(measureSubsetBalance()),
};

/** Attempts for each group; another process may take a port after it was found free and before it is used. */
const maximumAttempts = 2;

/** Number of significant digits in printed numbers. */
const significantDigits = 4;

const commandLine = yargs(hideBin(process.argv))
    .option("only", {
        type: "string",
        choices: Object.keys(measurementGroups),
        describe: "Runs only this group of measurements.",
    })
    .strict()
    .parseSync();

const clock = new SystemClock();
const startedAt = clock.now();
const results: Record<string, unknown> = {};
for (const [name, measure] of Object.entries(measurementGroups)) {
    if (commandLine.only === undefined || commandLine.only === name) {
        process.stderr.write(`${name} …\n`);
        results[name] = await measureWithRetries(() => measure(clock));
    }
}
const machine = `${cpus().length} processors, Node.js ${process.version}`;
const seconds = (clock.now() - startedAt) / 1000;
console.log(JSON.stringify({ machine, seconds, ...results }, (...[, value]) => roundNumber(value), 2));

/** Repeats a failed measurement; throws the error of the last attempt. */
async function measureWithRetries(measure: () => Promise<unknown>): Promise<unknown> {
    for (let attemptsLeft = maximumAttempts - 1; attemptsLeft > 0; attemptsLeft--) {
        try {
            return await measure();
        }
        catch (error) {
            process.stderr.write(`measurement failed; retrying: ${String(error)}\n`);
        }
    }
    return measure();
}

function roundNumber(value: unknown): unknown {
    return typeof value === "number" ? Number(value.toPrecision(significantDigits)) : value;
}
