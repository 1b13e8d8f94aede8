/**
 * `npm run bench:failover`: measures failover of the leading control process, key withdrawal and operator calls on a
 * cluster of real programs on the loopback interface, and prints the results as JSON.
 */
import { cpus } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SystemClock } from "../../util/clock.js";
import { measureHedgedCalls } from "./hedgedCalls.js";
import { measureKeyWithdrawals } from "./keyWithdrawal.js";
import { measureFailover } from "./leaderFailover.js";
import type { FailoverTimes, LeaderStopKind } from "./leaderFailover.js";

const stopKinds: readonly LeaderStopKind[] = ["killed", "graceful", "paused"];

const { repetitions } = yargs(hideBin(process.argv))
    .option("repetitions", {
        type: "number",
        default: 5,
        describe: "Number of runs of each measurement; key withdrawal runs twice as often.",
    })
    .strict()
    .parseSync();
const clock = new SystemClock();

const failovers: FailoverTimes[] = [];
for (const kind of stopKinds) {
    for (let repetition = 0; repetition < repetitions; repetition++) {
        failovers.push(await measureFailover(kind, clock));
    }
}
const withdrawalTimes = await measureKeyWithdrawals(repetitions * 2, clock);
const hedgedCalls = await measureHedgedCalls(repetitions, clock);
const machine = `${cpus().length} processors, Node.js ${process.version}`;
const summary = stopKinds.map(kind => summarise(kind, failovers.filter(failover => failover.kind === kind)));
const keyWithdrawal = sortAscending(withdrawalTimes);
console.log(
    JSON.stringify(
        { machine, repetitions, leaderEnds: summary, keyWithdrawal, operatorRace: hedgedCalls },
        (...[, value]) => roundToTenths(value),
        2,
    ),
);

function summarise(kind: LeaderStopKind, failovers: readonly FailoverTimes[]): object {
    return {
        kind,
        withoutLeader: sortAscending(failovers.map(failover => failover.withoutLeader)),
        withoutLease: sortAscending(failovers.map(failover => failover.withoutLease)),
        longestRefusal: sortAscending(failovers.map(failover => failover.longestRefusal)),
    };
}

function sortAscending(values: readonly number[]): readonly number[] {
    return [...values].sort((left, right) => left - right);
}

/** Rounds a number to one decimal place, for times a tenth of a millisecond; returns other values unchanged. */
function roundToTenths(value: unknown): unknown {
    return typeof value === "number" ? Math.round(value * 10) / 10 : value;
}
