/**
 * A long-running process of a hosted installation; disposing of it shuts it down gracefully.
 *
 * A hosted installation runs on VMs of a platform that lists its endpoints and receives its orders and usage reports.
 */
export interface HostedProcess extends AsyncDisposable {
    start(): Promise<void>;

    /** Applies settings that have changed since the start. */
    applySettings(): void;
}
