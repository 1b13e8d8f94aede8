import type { Clock, Milliseconds } from "../../util/clock.js";
import { readProcessUsage } from "../processUsage.js";

/** What a process used over a span of time. */
export interface UsageMeasurement {
    /** Processor time as a part of one core. */
    readonly cores: number;
    /** Resident memory at the end, in megabytes (10^6 bytes). */
    readonly residentMegabytes: number;
    readonly seconds: number;
}

/** Measures what a process uses while an action runs. */
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
        cores: (after.processorTime - before.processorTime) / duration,
        residentMegabytes: after.residentBytes / 1e6,
        seconds: duration / 1000,
    };
}
