import "disposablestack/auto";

/**
 * Gathers what a component owns, so that one call releases all of it in reverse order.
 *
 * Built on the standard `AsyncDisposableStack`.
 */
export class DisposableStore implements AsyncDisposable {
    private readonly stack = new AsyncDisposableStack();

    /** Whether {@link dispose} was called. */
    get disposed(): boolean {
        return this.stack.disposed;
    }

    /** Takes ownership of a disposable and returns it. */
    add<T extends AsyncDisposable | Disposable>(disposable: T): T {
        return this.stack.use(disposable);
    }

    /** Registers an action that runs on disposal. */
    defer(action: () => Promise<void> | void): void {
        this.stack.defer(action);
    }

    /** Releases everything in reverse order of addition; a second call does nothing. */
    async dispose(): Promise<void> {
        await this.stack.disposeAsync();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.dispose();
    }
}
