import type { Clock, Milliseconds } from "./clock.js";

/** Reasons of aborts that nobody reads; without one each abort makes an error with a stack. */
const timeOver = "the time is over";
const actionEnded = "the action has ended";

/** Runs an action whose signal aborts when a span of time is over; the span costs no timer once the action has ended. */
export async function withinTime<T>(
    clock: Clock,
    duration: Milliseconds,
    action: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
    const limit = new AbortController();
    const ended = new AbortController();
    void clock.sleep(duration, ended.signal).then(() => {
        limit.abort(timeOver);
    });
    try {
        return await action(limit.signal);
    }
    finally {
        ended.abort(actionEnded);
    }
}
