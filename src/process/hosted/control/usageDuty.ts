import { usageReportCall } from "../../../../platform/platformCalls.js";
import type { EventLog } from "../../../logEvent/eventLog.js";
import { formatFailure } from "../../../resultCode/resultCode.js";
import type { Clock, Milliseconds, UnixMilliseconds } from "../../../util/clock.js";
import type { LeasedCaller } from "../../platform/leasedCaller.js";
import type { CommandLog } from "../../replicatedLog/commandLog.js";
import type { EntryRegistry } from "./entryRegistry.js";
import type { HostedCommand, HostedOutcome, HostedState, SealedCounts } from "./hostedState.js";

/** Time after the end of a window in which entries still report calls started in it; spans several heartbeats. */
const settleTime: Milliseconds = 2_000;

/** Interval between two checks for windows to seal or report. */
const checkInterval: Milliseconds = 500;

/** Dependencies of {@link UsageDuty}. */
export interface UsageDutyOptions {
    /** Name of this process, sent to the platform as holder of the duty. */
    readonly holder: string;
    /** Host and port. */
    readonly platformAddress: string;
    /** Length of a usage window, in milliseconds. */
    readonly windowLength: Milliseconds;
    /**
     * Time after the start of a term before which the platform is not called. No window is sealed before either: entries
     * link to a new leader within this time and tell it their counts.
     */
    readonly handoverDelay: Milliseconds;
    readonly log: CommandLog<HostedCommand, HostedOutcome>;
    readonly state: HostedState;
    readonly registry: EntryRegistry;
    readonly caller: LeasedCaller;
    readonly clock: Clock;
    /** Wall-clock time that does not depend on the clock of this VM alone. */
    readonly unixNow: () => UnixMilliseconds;
    readonly eventLog: EventLog;
}

/**
 * Seals usage windows in the log and reports the sealed counts, so that a later leader repeats an identical report.
 */
export class UsageDuty {
    constructor(private readonly options: UsageDutyOptions) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, handoverDelay } = this.options;
        await clock.sleep(handoverDelay, signal);
        while (!signal.aborted) {
            await this.sealSettledWindows(signal);
            await this.reportSealedWindows(signal);
            await clock.sleep(checkInterval, signal);
        }
    }

    /** Number of the newest window whose counts no longer change. */
    private newestSettledWindow(): number {
        const { unixNow, windowLength } = this.options;
        return Math.floor((unixNow() - settleTime) / windowLength) - 1;
    }

    private async sealSettledWindows(signal: AbortSignal): Promise<void> {
        const { registry, state, log, eventLog } = this.options;
        const newest = this.newestSettledWindow();
        const newestSealed = state.windows.at(-1)?.window ?? -Infinity;
        for (const window of registry.windowsUpTo(newest)) {
            if (window <= newestSealed || signal.aborted) {
                continue;
            }
            const counts = registry.usageIn(window);
            const sealed = await log.propose({ kind: "sealWindow", window, counts }, signal);
            if (sealed.err) {
                return;
            }
            const calls = Object.values(counts).reduce((sum, count) => sum + count, 0);
            eventLog.write("usageWindowSealed", { window, calls, position: sealed.val.position });
        }
    }

    private async reportSealedWindows(signal: AbortSignal): Promise<void> {
        for (const sealed of this.options.state.windows.filter(window => !window.isReported)) {
            if (signal.aborted || !await this.report(sealed, signal)) {
                return;
            }
        }
    }

    private async report({ window, counts }: SealedCounts, signal: AbortSignal): Promise<boolean> {
        const { caller, platformAddress, holder, log, eventLog } = this.options;
        const response = await caller.call(usageReportCall(platformAddress, holder, window, counts), signal);
        if (response.err || response.val.status >= 300) {
            const reason = response.err ? formatFailure(response.val) : `status ${response.val.status}`;
            eventLog.write("usageReportFailed", { window, reason });
            return false;
        }
        const recorded = await log.propose({ kind: "windowReported", window }, signal);
        eventLog.write("usageWindowReported", { window, digest: undefined });
        return recorded.ok;
    }
}
