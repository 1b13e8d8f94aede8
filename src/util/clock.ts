import { performance } from "node:perf_hooks";

/** A point on a monotonic time line, or a span of time, in milliseconds. */
export type Milliseconds = number;

/** A point of wall-clock time: milliseconds since 1970-01-01T00:00:00Z. */
export type UnixMilliseconds = number;

/**
 * Source of the present time and of delays.
 *
 * Only the outermost tasks of a process ask a clock; each function that decides takes the present time as an argument.
 */
export abstract class Clock {
    /** The present monotonic time in milliseconds; it never goes backwards. */
    abstract now(): Milliseconds;

    /** The present wall-clock time; used for records and reports, never for leases. */
    abstract unixNow(): UnixMilliseconds;

    /**
     * Waits for a span of time.
     *
     * @param duration The span in milliseconds.
     * @param signal Ends the wait early when aborted.
     * @returns A promise that resolves at the end of the span or on abort; it never rejects.
     */
    abstract sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
    override now(): Milliseconds {
        return performance.now();
    }

    override unixNow(): UnixMilliseconds {
        return Date.now();
    }

    // Not the promise of the timers' library: its rejection on abort makes an error with a stack each time.
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
