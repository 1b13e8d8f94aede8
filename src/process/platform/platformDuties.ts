import type { Clock, Milliseconds } from "../../util/clock.js";
import type { CapacityDuty } from "../capacity/capacityDuty.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ActExecutor } from "./actExecutor.js";
import type { UsageReporter } from "./usageReporter.js";
import type { VmWatcher } from "./vmWatcher.js";

/** The leader's tasks towards the platform; a new instance is created for each term. */
export interface PlatformDuties {
    readonly executor: ActExecutor;
    readonly reporter: UsageReporter;
    readonly watcher: VmWatcher;
    readonly capacity: CapacityDuty;
}

/** Interval of the checks whether this process leads. */
const leadershipCheckInterval: Milliseconds = 100;

/** Interval between two capacity plans. */
const planInterval: Milliseconds = 1_000;

/** A task that runs until its signal is aborted, which happens when this process stops leading. */
export type TermTask = (signal: AbortSignal) => Promise<void>;

/**
 * Runs the tasks of each term in which this process leads, and stops them when the term ends.
 *
 * Resolves once `stop` is aborted and all tasks have ended.
 */
export async function runWhileLeading(
    log: Pick<CommandLog<never, unknown>, "leadingTerm">,
    clock: Clock,
    tasksOf: (term: number) => readonly TermTask[],
    stop: AbortSignal,
): Promise<void> {
    while (!stop.aborted) {
        const term = log.leadingTerm();
        if (term !== undefined) {
            await runTerm(term, log, clock, tasksOf(term), stop);
        }
        await clock.sleep(leadershipCheckInterval, stop);
    }
}

/** All tasks of a leader towards the platform for one term. */
export function platformTasks(duties: PlatformDuties, term: number, clock: Clock): readonly TermTask[] {
    const { executor, reporter, watcher, capacity } = duties;
    return [
        signal => executor.run(signal),
        signal => reporter.run(signal),
        signal => watcher.run(signal),
        signal => planPeriodically(capacity, term, clock, signal),
    ];
}

async function runTerm(
    term: number,
    log: Pick<CommandLog<never, unknown>, "leadingTerm">,
    clock: Clock,
    tasks: readonly TermTask[],
    stop: AbortSignal,
): Promise<void> {
    const ended = new AbortController();
    const { signal } = ended;
    const running = tasks.map(task => task(signal));
    while (!stop.aborted && log.leadingTerm() === term) {
        await clock.sleep(leadershipCheckInterval, stop);
    }
    ended.abort();
    await Promise.all(running);
}

async function planPeriodically(
    capacity: CapacityDuty,
    term: number,
    clock: Clock,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        await capacity.runOnce(term, clock.unixNow(), signal);
        await clock.sleep(planInterval, signal);
    }
}
