import { describeFailure, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { UsageCommand } from "../usage/usageCommand.js";
import type { SealedWindow, UsageLedger } from "../usage/usageLedger.js";
import type { CommandSink, PlatformTools } from "./actExecutor.js";
import type { CallAnswer } from "./leasedCaller.js";
import { retryPause } from "./platformSettings.js";

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
        private readonly tools: PlatformTools,
    ) {}

    /** Runs until the signal is aborted, which must happen when this process stops leading. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const window = this.ledger.nextUnreported();
            const reported = window !== undefined && await this.report(window, signal);
            if (!reported) {
                await this.tools.clock.sleep(this.pause(), signal);
            }
        }
    }

    private pause(): number {
        const { random, settings } = this.tools;
        return this.failures === 0 ? settings.lookInterval : retryPause(this.failures, random.float(), settings);
    }

    /** Sends one report; true once the log has recorded that the platform accepted it. */
    private async report(window: SealedWindow, signal: AbortSignal): Promise<boolean> {
        const refusal = await this.send(window, signal);
        if (refusal !== undefined) {
            this.failures += 1;
            this.tools.events.write("usageReportFailed", { window: window.start, reason: describeFailure(refusal) });
            return false;
        }
        const at = this.tools.clock.unixNow();
        const { start, digest } = window;
        const proposed = await this.log.propose({ kind: "usageReported", window: start, digest, at }, signal);
        if (proposed.err) {
            this.failures += 1;
            return false;
        }
        this.failures = 0;
        this.tools.events.write("usageWindowReported", { window: start, digest });
        return true;
    }

    private async send(window: SealedWindow, signal: AbortSignal): Promise<Failure | undefined> {
        const address = this.tools.addresses.common;
        const answer = await this.tools.caller.call({
            address,
            method: "PUT",
            path: `/usage-reports/${window.start}`,
            content: ({ fencingNumber }) => ({
                headers: { "content-type": "application/json", "x-fencing-number": String(fencingNumber) },
                body: window.bytes,
            }),
        }, signal);
        return answer.ok ? refusalOf(answer.val, window, address) : answer.val;
    }
}

function refusalOf(answer: CallAnswer, window: SealedWindow, address: string): Failure | undefined {
    if (answer.status >= 200 && answer.status <= 299) {
        return undefined;
    }
    return answer.status === 409
        ? failure("usageReportConflict", { window: window.start })
        : failure("platformRefused", { address, status: answer.status });
}
