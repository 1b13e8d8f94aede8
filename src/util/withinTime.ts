import type { Clock, Milliseconds } from "./clock.js";

/** Runs an action whose signal aborts when a span of time is over; the span costs no timer once the action has ended. */
export async function withinTime<T>(
    clock: Clock,
    duration: Milliseconds,
    action: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
    const limit = new AbortController();
    const ended = new AbortController();
    void clock.sleep(duration, ended.signal).then(() => {
        limit.abort();
    });
    try {
        return await action(limit.signal);
    }
    finally {
        ended.abort();
    }
}
