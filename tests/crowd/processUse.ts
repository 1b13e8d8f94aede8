import { readdir, readFile } from "node:fs/promises";

/** What a process has used. */
export interface ProcessUse {
    /** Whether the process still runs. */
    readonly isAlive: boolean;
    /** Largest resident memory since the start of the process, in bytes; 0 if it has ended. */
    readonly peakMemory: number;
    /** Number of open descriptors; 0 if it has ended. */
    readonly descriptors: number;
}

const bytesPerKibibyte = 1024;

/** Reads from the kernel what a process has used. */
export async function readProcessUse(processId: number): Promise<ProcessUse> {
    try {
        const status = await readFile(`/proc/${processId}/status`, "utf8");
        const descriptors = await readdir(`/proc/${processId}/fd`);
        const peak = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * bytesPerKibibyte;
        return { isAlive: peak > 0, peakMemory: peak, descriptors: descriptors.length };
    }
    catch {
        return { isAlive: false, peakMemory: 0, descriptors: 0 };
    }
}
