import type { Clock, Milliseconds } from "../../util/clock.js";
import type { CapacityDuty } from "../capacity/capacityDuty.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ActExecutor } from "./actExecutor.js";
import type { UsageReporter } from "./usageReporter.js";
import type { VmWatcher } from "./vmWatcher.js";

/** What a leader does towards the platform; made anew for each term. */
export interface PlatformDuties {
    readonly executor: ActExecutor;
    readonly reporter: UsageReporter;
    readonly watcher: VmWatcher;
    readonly capacity: CapacityDuty;
}

/** How often it is looked whether this process leads. */
const lookInterval: Milliseconds = 100;
/** How often capacity is planned. */
const planInterval: Milliseconds = 1_000;

/** Runs the duties of each term in which this process leads, and ends them when the term does. */
export async function runPlatformDuties(
    log: Pick<CommandLog<never, unknown>, "leadingTerm">,
    clock: Clock,
    dutiesOf: (term: number) => PlatformDuties,
    stop: AbortSignal,
): Promise<void> {
    while (!stop.aborted) {
        const term = log.leadingTerm();
        if (term !== undefined) {
            await runTerm(term, log, clock, dutiesOf(term), stop);
        }
        await clock.sleep(lookInterval, stop);
    }
}

async function runTerm(
    term: number,
    log: Pick<CommandLog<never, unknown>, "leadingTerm">,
    clock: Clock,
    { executor, reporter, watcher, capacity }: PlatformDuties,
    stop: AbortSignal,
): Promise<void> {
    const ended = new AbortController();
    const { signal } = ended;
    const tasks = [
        executor.run(signal),
        reporter.run(signal),
        watcher.run(signal),
        planRegularly(capacity, term, clock, signal),
    ];
    while (!stop.aborted && log.leadingTerm() === term) {
        await clock.sleep(lookInterval, stop);
    }
    ended.abort();
    await Promise.all(tasks);
}

async function planRegularly(
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
