/** Lets tasks wait until something has changed. */
export class WakeUp {
    private waiting: (() => void)[] = [];

    /** Wakes every task that waits now. */
    wake(): void {
        const woken = this.waiting;
        this.waiting = [];
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
                resolve();
            };
            this.waiting.push(finish);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}
