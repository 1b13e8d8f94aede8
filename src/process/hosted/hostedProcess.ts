/** A long-running process of a hosted installation; disposing of it shuts it down gracefully. */
export interface HostedProcess extends AsyncDisposable {
    /** Starts serving. */
    start(): Promise<void>;

    /** Applies settings that have changed since the start. */
    applySettings(): void;
}
