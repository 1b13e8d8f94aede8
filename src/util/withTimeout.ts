import type { Clock, Milliseconds } from "./clock.js";

/** Abort reasons that no code reads; without a reason each abort would create an error with a stack trace. */
const timeoutReason = "timed out";
const actionEndedReason = "action ended";

/**
 * Runs an action with a signal that is aborted after a timeout; the timer is cleared once the action has settled.
 *
 * The action itself must react to the signal: the returned promise settles only with the action.
 *
 * @param timeoutDuration Timeout in milliseconds.
 */
export async function withTimeout<T>(
    clock: Clock,
    timeoutDuration: Milliseconds,
    action: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
    const timeout = new AbortController();
    const actionEnd = new AbortController();
    void clock.sleep(timeoutDuration, actionEnd.signal).then(() => {
        timeout.abort(timeoutReason);
    });
    try {
        return await action(timeout.signal);
    }
    finally {
        actionEnd.abort(actionEndedReason);
    }
}
