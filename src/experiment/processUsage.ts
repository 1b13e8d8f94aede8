import { readFile } from "node:fs/promises";
import type { Milliseconds } from "../util/clock.js";

/** Length of a tick of `/proc/PID/stat`, in milliseconds (USER_HZ is 100 on Linux). */
const tickLength: Milliseconds = 10;

/** Indexes of user and system time among the fields after the command's name in `/proc/PID/stat`. */
const userTimeField = 11;
const systemTimeField = 12;

const bytesPerKibibyte = 1024;

/** What a process has used so far. */
export interface ProcessUsage {
    /** User and system time of all its threads. */
    readonly processorTime: Milliseconds;
    /** Resident memory. */
    readonly residentBytes: number;
}

/** Reads what a running process has used, from the `/proc` file system of Linux. */
export async function readProcessUsage(processId: number): Promise<ProcessUsage> {
    const [stat, status] = await Promise.all([
        readFile(`/proc/${processId}/stat`, "utf8"),
        readFile(`/proc/${processId}/status`, "utf8"),
    ]);
    return { processorTime: processorTimeIn(stat), residentBytes: residentBytesIn(status) };
}

/** Processor time in the text of `/proc/PID/stat`. */
export function processorTimeIn(stat: string): Milliseconds {
    // The command's name stands in parentheses and may itself contain blanks and parentheses.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * tickLength;
}

/** Resident memory in the text of `/proc/PID/status`. */
export function residentBytesIn(status: string): number {
    const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
    return Number(kibibytes) * bytesPerKibibyte;
}
