import type { Clock, Milliseconds } from "../../util/clock.js";
import { readProcessUsage } from "../processUsage.js";

/** Resource usage of a process during a measurement. */
export interface UsageMeasurement {
    /** Processor time as a fraction of one core; more than 1 if several cores were used. */
    readonly cores: number;
    /** Resident memory at the end, in megabytes (10^6 bytes). */
    readonly residentMegabytes: number;
    /** Duration of the measurement. */
    readonly seconds: number;
}

/** Measures the resource usage of a process while an action runs. */
export async function measureUsage(
    processId: number,
    clock: Clock,
    action: () => Promise<void>,
): Promise<UsageMeasurement> {
    const before = await readProcessUsage(processId);
    const startedAt = clock.now();
    await action();
    const duration: Milliseconds = clock.now() - startedAt;
    const after = await readProcessUsage(processId);
    return {
        cores: (after.cpuTime - before.cpuTime) / duration,
        residentMegabytes: after.residentBytes / 1e6,
        seconds: duration / 1000,
    };
}
