/**
 * Measures what the loss of a control process costs, on a cluster of real programs on the loopback interface, and prints
 * the figures as JSON. `--repetitions` sets how often each end of a leader is measured.
 */
import { cpus } from "node:os";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { SystemClock } from "../../util/clock.js";
import { measureKeyWithdrawals } from "./keyWithdrawal.js";
import { measureLeaderEnd } from "./leaderEnd.js";
import type { EndKind, LeaderEnd } from "./leaderEnd.js";
import { measureOperatorRace } from "./operatorRace.js";

const kinds: readonly EndKind[] = ["killed", "graceful", "paused"];

const { repetitions } = yargs(hideBin(process.argv))
    .option("repetitions", { type: "number", default: 5, describe: "Runs of each measurement." })
    .strict()
    .parseSync();
const clock = new SystemClock();

const leaderEnds: LeaderEnd[] = [];
for (const kind of kinds) {
    for (let repetition = 0; repetition < repetitions; repetition++) {
        leaderEnds.push(await measureLeaderEnd(kind, clock));
    }
}
const withdrawals = await measureKeyWithdrawals(repetitions * 2, clock);
const races = await measureOperatorRace(repetitions, clock);
const machine = `${cpus().length} processors, Node.js ${process.version}`;
const summary = kinds.map(kind => summarise(kind, leaderEnds.filter(end => end.kind === kind)));
const keyWithdrawal = sorted(withdrawals);
console.log(
    JSON.stringify(
        { machine, repetitions, leaderEnds: summary, keyWithdrawal, operatorRace: races },
        (...[, value]) => round(value),
        2,
    ),
);

function summarise(kind: EndKind, ends: readonly LeaderEnd[]): object {
    return {
        kind,
        withoutLeader: sorted(ends.map(end => end.withoutLeader)),
        withoutLease: sorted(ends.map(end => end.withoutLease)),
        longestRefusal: sorted(ends.map(end => end.longestRefusal)),
    };
}

function sorted(values: readonly number[]): readonly number[] {
    return [...values].sort((left, right) => left - right);
}

/** Rounds to tenths of a millisecond. */
function round(value: unknown): unknown {
    return typeof value === "number" ? Math.round(value * 10) / 10 : value;
}
