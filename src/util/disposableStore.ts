import "disposablestack/auto";

/**
 * Collects the resources that a component owns, so that one call releases all of them in reverse order.
 *
 * Built on the standard `AsyncDisposableStack`.
 */
export class DisposableStore implements AsyncDisposable {
    private readonly stack = new AsyncDisposableStack();

    /** Whether {@link dispose} has been called. */
    get disposed(): boolean {
        return this.stack.disposed;
    }

    /** Takes ownership of a disposable and returns it. */
    add<T extends AsyncDisposable | Disposable>(disposable: T): T {
        return this.stack.use(disposable);
    }

    /** Registers a callback that runs on disposal. */
    defer(callback: () => Promise<void> | void): void {
        this.stack.defer(callback);
    }

    /** Releases all resources in reverse order of addition; further calls have no effect. */
    async dispose(): Promise<void> {
        await this.stack.disposeAsync();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.dispose();
    }
}
