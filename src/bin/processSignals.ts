/**
 * Handlers of SIGTERM, SIGINT and SIGHUP that stay in place until the process exits.
 *
 * Without a handler each of these signals ends the process at once. Programs therefore import this module first, and
 * load their other modules with `import()`, since static imports are all loaded before the first module is evaluated.
 * This module must not import others.
 */

/** Signals that request a graceful stop. */
export type StopSignal = "SIGINT" | "SIGTERM";

/** Signals that have a handler. */
export type HandledSignal = StopSignal | "SIGHUP";

/** Receives the signals that do not begin a shutdown. */
export interface SignalListener {
    /** SIGHUP arrived before the shutdown. */
    readonly reload: () => void;
    /**
     * A signal arrived during the shutdown.
     *
     * @param elapsed Time since the shutdown was requested, in milliseconds.
     */
    readonly ignored: (signal: HandledSignal, elapsed: number) => void;
}

/**
 * Decides what each signal does: the first SIGTERM or SIGINT requests the shutdown, and no signal after it has an effect.
 *
 * Signals that arrive before the process subscribes are remembered.
 */
export class ProcessSignals {
    /** Resolves with the reason once the shutdown is requested. */
    readonly stopRequested: Promise<string>;
    private resolveStopRequested: (reason: string) => void = () => undefined;
    private stopRequestedAt: number | undefined;
    private isReloadPending = false;
    private pendingIgnored: (readonly [HandledSignal, number])[] = [];
    private listener: SignalListener | undefined;

    constructor() {
        this.stopRequested = new Promise(resolve => {
            this.resolveStopRequested = resolve;
        });
    }

    /** Whether the shutdown was requested. */
    get isStopRequested(): boolean {
        return this.stopRequestedAt !== undefined;
    }

    /** Requests the shutdown for a reason other than a signal, unless it was requested before. */
    requestStop(reason: string, now: number): void {
        this.stopRequestedAt ??= now;
        this.resolveStopRequested(reason);
    }

    /** Passes on the signals that have arrived, then each further one. */
    subscribe(listener: SignalListener): void {
        this.listener = listener;
        if (this.isReloadPending) {
            this.isReloadPending = false;
            listener.reload();
        }
        const ignored = this.pendingIgnored;
        this.pendingIgnored = [];
        ignored.forEach(([signal, elapsed]) => {
            listener.ignored(signal, elapsed);
        });
    }

    /** Handles a signal. */
    receive(signal: HandledSignal, now: number): void {
        if (this.stopRequestedAt !== undefined) {
            this.ignore(signal, now - this.stopRequestedAt);
            return;
        }
        if (signal !== "SIGHUP") {
            this.requestStop(signal, now);
            return;
        }
        if (this.listener === undefined) {
            this.isReloadPending = true;
            return;
        }
        this.listener.reload();
    }

    private ignore(signal: HandledSignal, elapsed: number): void {
        if (this.listener === undefined) {
            this.pendingIgnored.push([signal, elapsed]);
            return;
        }
        this.listener.ignored(signal, elapsed);
    }
}

/** Signals of this process. */
export const processSignals = new ProcessSignals();

for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"] as const) {
    process.on(signal, () => {
        processSignals.receive(signal, performance.now());
    });
}
