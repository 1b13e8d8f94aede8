import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../src/util/clock.js";
import type { RandomSource } from "../../src/util/randomSource.js";
import { integerRange } from "./integerRange.js";
import type { PlannedStop, SoakVm, StopSignal } from "./soakVm.js";

/** Time after the first signal within which further ones are sent. */
const repetitionPeriod: Milliseconds = 8_000;

/** The same for signals that follow at once. */
const shortRepetitionPeriod: Milliseconds = 20;

/** Largest number of signals after the first one. */
const maximumRepetitions = 3;

/** Bounds of the time that a process runs before it is stopped again. */
const usualUptimes = [1_000, 6_000] as const;

/** Time within which a process is stopped again while it still starts. */
const shortUptime: Milliseconds = 600;

/** Upper bound of the time between the exit of a process and its next start. */
const maximumDowntime: Milliseconds = 500;

/** Longest time between the stops of two entries of a failure domain. */
const maximumGap: Milliseconds = 1_500;

/** Time between the last restart of a series and its end. */
const settlingTime: Milliseconds = 1_500;

/** A stop of a series. */
interface StopStep {
    readonly signals: readonly StopSignal[];
    /** Time from the exit to the restart. */
    readonly downtime: Milliseconds;
    /** Time from the restart to the next stop. */
    readonly uptime: Milliseconds;
}

/** Stops of a process, one after the other. */
export interface StopSeries {
    readonly vm: SoakVm;
    /** Time from the beginning of all series to the first stop. */
    readonly delay: Milliseconds;
    readonly steps: readonly StopStep[];
}

/** Plans stops of a process, or of all entries of a failure domain with small gaps. */
export function planStopSeries(vms: readonly SoakVm[], stopCount: number, random: RandomSource): readonly StopSeries[] {
    let delay = 0;
    return vms.map(vm => {
        delay += random.float() * maximumGap;
        const steps = integerRange(1, stopCount).map(() => ({
            signals: chooseSignals(random),
            downtime: random.float() * maximumDowntime,
            uptime: random.float() < 0.3 ? random.float() * shortUptime : random.integer(...usualUptimes),
        }));
        return { vm, delay, steps };
    });
}

/** Plays a series; resolves some time after the process was restarted for the last time. */
export async function playStopSeries(
    { vm, delay, steps }: StopSeries,
    onStop: (vm: SoakVm, stop: PlannedStop | undefined) => void,
): Promise<void> {
    await sleep(delay);
    for (const [index, { signals, downtime, uptime }] of steps.entries()) {
        onStop(vm, await vm.stop(signals));
        await sleep(downtime);
        await vm.start();
        await sleep(index < steps.length - 1 ? uptime : settlingTime);
    }
}

/** Chooses the signals of a stop: one or more that stop the process, with or without others. */
function chooseSignals(random: RandomSource): readonly StopSignal[] {
    const repetitions = random.float() < 0.4 ? 0 : random.integer(1, maximumRepetitions);
    const later = integerRange(0, repetitions).map((): StopSignal => ({
        name: random.pick(["SIGTERM", "SIGINT", "SIGHUP"]),
        delay: random.float() * (random.float() < 0.2 ? shortRepetitionPeriod : repetitionPeriod),
    }));
    const first: StopSignal = { name: random.pick(["SIGTERM", "SIGTERM", "SIGINT"]), delay: 0 };
    return [...(random.float() < 0.3 ? [{ name: "SIGHUP", delay: 0 } as const] : []), first, ...later];
}
