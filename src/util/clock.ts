import { performance } from "node:perf_hooks";

/** A monotonic timestamp or a duration, in milliseconds. */
export type Milliseconds = number;

/** A wall-clock timestamp: milliseconds since 1970-01-01T00:00:00Z. */
export type UnixMilliseconds = number;

/**
 * Source of the current time and of delays.
 *
 * Only the top-level tasks of a process read a clock; functions that make decisions receive the time as an argument.
 */
export abstract class Clock {
    /** The current monotonic time in milliseconds; it never decreases. */
    abstract now(): Milliseconds;

    /** The current wall-clock time; used for records and reports, never for leases. */
    abstract unixNow(): UnixMilliseconds;

    /**
     * Waits for a duration.
     *
     * @param duration The duration in milliseconds.
     * @param signal Ends the wait early when aborted.
     * @returns A promise that resolves after the duration or on abort; it never rejects.
     */
    abstract sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** Clock of the operating system. */
export class SystemClock extends Clock {
    override now(): Milliseconds {
        return performance.now();
    }

    override unixNow(): UnixMilliseconds {
        return Date.now();
    }

    // `setTimeout` of node:timers/promises would create an error with a stack trace on each abort.
    override sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = (): void => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, duration);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}
