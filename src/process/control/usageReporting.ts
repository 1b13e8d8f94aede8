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

/** Timeout of one call, in milliseconds; together with the margin it must fit into the remaining time of a lease. */
const callTimeout: Milliseconds = 350;

/** Time that a lease must last beyond the timeout of a call, in milliseconds. */
const leaseMargin: Milliseconds = 50;

/** Number of possible seeds for the random delays between attempts. */
const seedCount = 2 ** 31;

/** Dependencies of {@link runUsageReporting}. */
export interface UsageReportingContext {
    /** Address at which the platform accepts reports. */
    readonly address: string;
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly proposer: ControlProposer;
    readonly clock: Clock;
    readonly eventLog: EventLog;
}

/** Reports sealed usage windows to the platform while this process leads, until aborted. */
export function runUsageReporting(context: UsageReportingContext, stopSignal: AbortSignal): Promise<void> {
    const { address, state, commandLog, proposer, clock, eventLog } = context;
    const reporter = new UsageReporter(
        state.usage,
        { propose: (command, signal) => proposer.propose("usage", command, signal) },
        {
            caller: new HttpLeasedCaller(commandLog, clock, callTimeout, leaseMargin),
            addresses: { orderAddressOf: () => address, common: address },
            clock,
            random: new RandomSource(randomInt(seedCount)),
            events: eventLog,
            settings: defaultPlatformSettings,
        },
    );
    return runWhileLeading(commandLog, clock, () => [signal => reporter.run(signal)], stopSignal);
}
