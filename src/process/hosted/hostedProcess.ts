/** A program of a hosted installation that serves until it is stopped. */
export interface HostedProcess extends AsyncDisposable {
    /** Starts to serve. */
    start(): Promise<void>;

    /** Takes over settings that have changed while the process serves. */
    applySettings(): void;
}
