import type { Clock, Milliseconds } from "./clock.js";

/** Wakes every task that waits for a change of shared state; waiters check the state again after waking. */
export class Condition {
    private waiters = new Set<() => void>();

    /** Wakes all present waiters. */
    notify(): void {
        const woken = this.waiters;
        this.waiters = new Set();
        for (const wake of woken) {
            wake();
        }
    }

    /** Resolves at the next {@link notify} or when the signal aborts; never rejects. */
    async wait(signal?: AbortSignal): Promise<void> {
        if (signal?.aborted === true) {
            return;
        }
        await new Promise<void>(resolve => {
            const wake = (): void => {
                this.waiters.delete(wake);
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            this.waiters.add(wake);
            signal?.addEventListener("abort", wake, { once: true });
        });
    }

    /**
     * Resolves at the next {@link notify}, after a span of time, or when the signal aborts.
     *
     * @param duration Longest wait in milliseconds.
     */
    async waitFor(clock: Clock, duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        const ended = new AbortController();
        const endBoth = (): void => {
            ended.abort();
        };
        signal?.addEventListener("abort", endBoth, { once: true });
        if (signal?.aborted === true) {
            ended.abort();
        }
        await Promise.race([this.wait(ended.signal), clock.sleep(duration, ended.signal)]);
        ended.abort();
        signal?.removeEventListener("abort", endBoth);
    }
}
