import type { Clock, Milliseconds } from "./clock.js";

/** Reason of an abort that nobody reads; without one each abort makes an error with a stack. */
const waitEnded = "the wait has ended";

/** Lets tasks wait until something has changed. */
export class WakeUp {
    private waiting = new Set<() => void>();

    /** Wakes every task that waits now. */
    wake(): void {
        const woken = this.waiting;
        this.waiting = new Set();
        woken.forEach(resume => {
            resume();
        });
    }

    /** Resolves at the next {@link wake} or when the signal aborts; never rejects. */
    wait(signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true) {
                resolve();
                return;
            }
            const finish = (): void => {
                signal?.removeEventListener("abort", finish);
                this.waiting.delete(finish);
                resolve();
            };
            this.waiting.add(finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }

    /**
     * Resolves at the next {@link wake}, after a span of time, or when the signal aborts; never rejects.
     *
     * @param duration Longest wait in milliseconds.
     */
    async waitFor(clock: Clock, duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        const ended = new AbortController();
        const end = (): void => {
            ended.abort(waitEnded);
        };
        signal?.addEventListener("abort", end, { once: true });
        if (signal?.aborted === true) {
            end();
        }
        await Promise.race([this.wait(ended.signal), clock.sleep(duration, ended.signal)]);
        end();
        signal?.removeEventListener("abort", end);
    }
}
