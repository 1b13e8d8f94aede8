import { failure, formatFailure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { UsageCommand } from "../usage/usageCommand.js";
import type { SealedWindow, UsageLedger } from "../usage/usageLedger.js";
import type { CommandSink, PlatformTaskContext } from "./actExecutor.js";
import type { CallResponse } from "./leasedCaller.js";
import { retryDelay } from "./platformSettings.js";

/**
 * Reports sealed usage windows to the platform, oldest first, while this process leads.
 *
 * A report consists of the sealed bytes in the log; it is sent unchanged until the platform accepts it.
 */
export class UsageReporter {
    private failures = 0;

    constructor(
        private readonly ledger: Pick<UsageLedger, "nextUnreported">,
        private readonly log: CommandSink<UsageCommand>,
        private readonly context: PlatformTaskContext,
    ) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const window = this.ledger.nextUnreported();
            const reported = window !== undefined && await this.report(window, signal);
            if (!reported) {
                await this.context.clock.sleep(this.nextDelay(), signal);
            }
        }
    }

    private nextDelay(): number {
        const { random, settings } = this.context;
        return this.failures === 0 ? settings.checkInterval : retryDelay(this.failures, random.float(), settings);
    }

    /** Sends one report; true once the log has recorded that the platform accepted it. */
    private async report(window: SealedWindow, signal: AbortSignal): Promise<boolean> {
        const sendFailure = await this.send(window, signal);
        if (sendFailure !== undefined) {
            this.failures += 1;
            this.context.events.write("usageReportFailed", {
                window: window.start,
                reason: formatFailure(sendFailure),
            });
            return false;
        }
        const at = this.context.clock.unixNow();
        const { start, digest } = window;
        const proposed = await this.log.propose({ kind: "usageReported", window: start, digest, at }, signal);
        if (proposed.err) {
            this.failures += 1;
            return false;
        }
        this.failures = 0;
        this.context.events.write("usageWindowReported", { window: start, digest });
        return true;
    }

    private async send(window: SealedWindow, signal: AbortSignal): Promise<Failure | undefined> {
        const address = this.context.addresses.common;
        const response = await this.context.caller.call({
            address,
            method: "PUT",
            path: `/usage-reports/${window.start}`,
            content: ({ fencingNumber }) => ({
                headers: { "content-type": "application/json", "x-fencing-number": String(fencingNumber) },
                body: window.bytes,
            }),
        }, signal);
        return response.ok ? failureOf(response.val, window, address) : response.val;
    }
}

function failureOf(response: CallResponse, window: SealedWindow, address: string): Failure | undefined {
    if (response.status >= 200 && response.status <= 299) {
        return undefined;
    }
    return response.status === 409
        ? failure("usageReportConflict", { window: window.start })
        : failure("platformRefused", { address, status: response.status });
}
