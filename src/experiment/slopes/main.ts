/**
 * Measures the slopes behind docs/CAPACITY.md on this machine and prints them as JSON.
 *
 * Everything runs on the loopback interface with real `gullhall` programs and small stand-ins, below a hundred
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
    balance: () => Promise.resolve(measureSubsetBalance()),
};

/** Attempts at each group; another process may take a port between its choice and its use. */
const maximumAttempts = 2;

/** Digits that are printed of each number. */
const significantDigits = 4;

const commandLine = yargs(hideBin(process.argv))
    .option("only", { type: "string", choices: Object.keys(measurementGroups), describe: "Run this group alone." })
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

/** Repeats a measurement that failed; the last failure ends the program. */
async function measureWithRetries(measure: () => Promise<unknown>): Promise<unknown> {
    for (let attemptsLeft = maximumAttempts - 1; attemptsLeft > 0; attemptsLeft--) {
        try {
            return await measure();
        }
        catch (error) {
            process.stderr.write(`again, after: ${String(error)}\n`);
        }
    }
    return measure();
}

function roundNumber(value: unknown): unknown {
    return typeof value === "number" ? Number(value.toPrecision(significantDigits)) : value;
}
