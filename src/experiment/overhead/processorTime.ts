import { readFile } from "node:fs/promises";
import type { Milliseconds } from "../../util/clock.js";

/** Length of the clock ticks of `/proc`, in milliseconds (USER_HZ is 100 on Linux). */
const tickMilliseconds = 10;

/** Positions of the times in user and system mode among the fields after the program's name (proc(5), 14 and 15). */
const userField = 11;
const systemField = 12;

/** Processor time that a process has used so far, by `/proc/ID/stat`; Linux alone. */
export async function processorTime(processId: number): Promise<Milliseconds> {
    const status = await readFile(`/proc/${processId}/stat`, "utf8");
    const fields = status.slice(status.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userField]) + Number(fields[systemField])) * tickMilliseconds;
}
