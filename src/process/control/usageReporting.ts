import { randomInt } from "node:crypto";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { RandomSource } from "../../util/randomSource.js";
import { HttpLeasedCaller } from "../platform/httpLeasedCaller.js";
import { runWhileLeading } from "../platform/platformDuties.js";
import { defaultPlatformSettings } from "../platform/platformSettings.js";
import { UsageReporter } from "../platform/usageReporter.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ControlProposer } from "../state/controlProposer.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../state/controlState.js";

/** Longest time from the start of a call to its end; with the margin it must fit into what a lease leaves. */
const callTimeLimit: Milliseconds = 350;

/** What must be left of the lease beyond the time limit of a call. */
const leaseMargin: Milliseconds = 50;

/** Number of seeds of the random pauses between attempts. */
const seeds = 2 ** 31;

/** What usage reporting works with. */
export interface UsageReportingContext {
    /** Where the platform takes reports. */
    readonly address: string;
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly proposals: ControlProposer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Reports sealed usage windows to the platform whenever this process leads, until stopped. */
export function runUsageReporting(context: UsageReportingContext, stop: AbortSignal): Promise<void> {
    const { address, state, commandLog, proposals, clock, eventLog } = context;
    const reporter = new UsageReporter(
        state.usage,
        { propose: (command, signal) => proposals.propose("usage", command, signal) },
        {
            caller: new HttpLeasedCaller(commandLog, clock, callTimeLimit, leaseMargin),
            addresses: { ordersOf: () => address, common: address },
            clock,
            random: new RandomSource(randomInt(seeds)),
            events: eventLog,
            settings: defaultPlatformSettings,
        },
    );
    return runWhileLeading(commandLog, clock, () => [signal => reporter.run(signal)], stop);
}
