import { readFile } from "node:fs/promises";
import type { Milliseconds } from "../util/clock.js";

/** Clock tick of `/proc/PID/stat`, in milliseconds (USER_HZ is 100 on Linux). */
const clockTick: Milliseconds = 10;

/** Indexes of the user and system time among the fields after the command name in `/proc/PID/stat`. */
const userTimeIndex = 11;
const systemTimeIndex = 12;

const bytesPerKibibyte = 1024;

/** Resource usage of a process since its start. */
export interface ProcessUsage {
    /** CPU time of all threads: user and system time. */
    readonly cpuTime: Milliseconds;
    /** Resident set size. */
    readonly residentBytes: number;
}

/** Reads the resource usage of a running process from the `/proc` file system of Linux. */
export async function readProcessUsage(processId: number): Promise<ProcessUsage> {
    const [stat, status] = await Promise.all([
        readFile(`/proc/${processId}/stat`, "utf8"),
        readFile(`/proc/${processId}/status`, "utf8"),
    ]);
    return { cpuTime: parseCpuTime(stat), residentBytes: parseResidentBytes(status) };
}

/** Parses the CPU time in the content of `/proc/PID/stat`. */
export function parseCpuTime(stat: string): Milliseconds {
    // The command name is enclosed in parentheses and may itself contain spaces and parentheses.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTimeIndex]) + Number(fields[systemTimeIndex])) * clockTick;
}

/** Parses the resident set size in the content of `/proc/PID/status`; returns NaN if it is missing. */
export function parseResidentBytes(status: string): number {
    const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
    return Number(kibibytes) * bytesPerKibibyte;
}
