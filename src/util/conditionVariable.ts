import type { Clock, Milliseconds } from "./clock.js";

/** Abort reason that no code reads; without a reason each abort would create an error with a stack trace. */
const waitEndedReason = "wait ended";

/** A condition variable: tasks wait until another task signals a change. */
export class ConditionVariable {
    private waiters = new Set<() => void>();

    /** Resumes all tasks that are currently waiting. */
    notifyAll(): void {
        const resumedWaiters = this.waiters;
        this.waiters = new Set();
        resumedWaiters.forEach(resume => {
            resume();
        });
    }

    /** Resolves at the next {@link notifyAll} or when the signal aborts; never rejects. */
    wait(signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = (): void => {
                signal?.removeEventListener("abort", finish);
                this.waiters.delete(finish);
                resolve();
            };
            this.waiters.add(finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }

    /**
     * Resolves at the next {@link notifyAll}, after a duration, or when the signal aborts; never rejects.
     *
     * @param duration Maximum wait in milliseconds.
     */
    async waitWithTimeout(clock: Clock, duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        const waitEnd = new AbortController();
        const endWait = (): void => {
            waitEnd.abort(waitEndedReason);
        };
        signal?.addEventListener("abort", endWait, { once: true });
        if (signal?.aborted === true) {
            endWait();
        }
        await Promise.race([this.wait(waitEnd.signal), clock.sleep(duration, waitEnd.signal)]);
        endWait();
        signal?.removeEventListener("abort", endWait);
    }
}
