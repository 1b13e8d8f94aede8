/** Runs asynchronous actions one after the other, in the order of their arrival. */
export class SerialQueue {
    private last: Promise<unknown> = Promise.resolve();

    /** Runs an action after all earlier ones have ended, and returns what it returns. */
    async run<T>(action: () => Promise<T>): Promise<T> {
        const result = this.last.then(action);
        this.last = result.catch(() => undefined);
        return result;
    }
}
