/** Runs asynchronous actions one at a time, in submission order. */
export class SerialQueue {
    private last: Promise<unknown> = Promise.resolve();

    /** Runs an action after all earlier ones have settled, and returns its result. */
    async run<T>(action: () => Promise<T>): Promise<T> {
        const result = this.last.then(action);
        this.last = result.catch(() => undefined);
        return result;
    }
}
