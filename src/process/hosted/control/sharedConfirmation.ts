import type { Clock, Milliseconds } from "../../../util/clock.js";
import { withTimeout } from "../../../util/withTimeout.js";
import type { CommandLog } from "../../replicatedLog/commandLog.js";
import type { HostedCommand, HostedOutcome, HostedState } from "./hostedState.js";

/** Timeout of a confirmation; longer than a heartbeat round trip, shorter than the timeout of operator clients. */
const confirmationTimeout: Milliseconds = 800;

/**
 * Confirms the newest configuration version with a quorum; all calls made while a confirmation is running share the
 * next one.
 */
export class SharedConfirmation {
    private running: Promise<number | undefined> | undefined;
    private queued: Promise<number | undefined> | undefined;

    constructor(
        private readonly log: CommandLog<HostedCommand, HostedOutcome>,
        private readonly state: HostedState,
        private readonly clock: Clock,
    ) {}

    /** The newest version as of this call or later; undefined if no quorum confirms it in time. */
    version(): Promise<number | undefined> {
        if (this.running === undefined) {
            return this.start();
        }
        this.queued ??= this.running.then(() => {
            this.queued = undefined;
            return this.start();
        });
        return this.queued;
    }

    private start(): Promise<number | undefined> {
        const started = this.confirm();
        this.running = started;
        void started.then(() => {
            if (this.running === started) {
                this.running = undefined;
            }
        });
        return started;
    }

    private confirm(): Promise<number | undefined> {
        return withTimeout(this.clock, confirmationTimeout, async signal => {
            const position = await this.log.confirmPosition(signal);
            const reached = position.ok && await this.log.waitForPosition(position.val, signal);
            return reached ? this.state.version : undefined;
        });
    }
}
