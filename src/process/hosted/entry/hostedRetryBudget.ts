import type { RetryReport } from "../../../connection/hosted/retryMessages.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import { SlidingWindowCounter } from "../../../util/slidingWindowCounter.js";
import type { SuspensionDetector } from "../../../util/suspensionDetector.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import type { HostedBounds } from "../hostedSettings.js";
import { ownFraction } from "../retryPolicy.js";
import type { GrantSource } from "./grantSource.js";

/** Time for which no request is made after the leader did not respond. */
const leaderSilenceTime: Milliseconds = 500;

/** Age of a request from which its grant is not used; longer delays mean that this process was suspended. */
const grantValidity: Milliseconds = 500;

/** Dependencies of {@link HostedRetryBudget}. */
export interface RetryBudgetContext {
    readonly clock: Clock;
    readonly suspensionDetector: SuspensionDetector;
    readonly random: RandomSource;
    readonly bounds: HostedBounds;
    /** Number of entries that are serving. */
    readonly entryCount: () => number;
}

/** What this entry knows of the retries of one service. */
class ServiceRetries {
    readonly calls: SlidingWindowCounter;
    readonly granted: SlidingWindowCounter;
    readonly own: SlidingWindowCounter;
    /** When the leader may be asked again after it denied a retry. */
    nextRequestAt: Milliseconds = -Infinity;

    constructor(windowLength: Milliseconds) {
        this.calls = new SlidingWindowCounter(windowLength);
        this.granted = new SlidingWindowCounter(windowLength);
        this.own = new SlidingWindowCounter(windowLength);
    }
}

/**
 * Retry budget: bounds the retries of each service by all entries together, so that they cannot amplify an overload.
 *
 * An entry takes its own share without asking. Beyond that the leader grants retries, as the need may arise at any entry.
 */
export class HostedRetryBudget {
    private readonly services = new Map<string, ServiceRetries>();
    private leaderSilentUntil: Milliseconds = -Infinity;
    /** Added before a share is rounded down, so that shares below one retry add up over the entries. */
    private readonly roundingOffset: number;
    private readonly decisions = { own: 0, granted: 0, denied: 0, undecided: 0 };

    constructor(private readonly context: RetryBudgetContext) {
        this.roundingOffset = context.random.float();
    }

    /** Counts a call to a service. */
    recordCall(service: string, now: Milliseconds): void {
        this.retriesOf(service).calls.add(now);
    }

    /** Calls and retries in the window, as reported to control processes. */
    report(now: Milliseconds): RetryReport {
        const counts = [...this.services].map(([service, { calls, granted, own }]) =>
            [service, { calls: calls.count(now), granted: granted.count(now), own: own.count(now) }] as const
        );
        return Object.fromEntries(counts.filter(([, { calls, granted, own }]) => calls + granted + own > 0));
    }

    /** Takes one retry from the budget; false if it is exhausted, or if the decision came too late to be used. */
    async acquire(service: string, source: GrantSource): Promise<boolean> {
        const { clock, suspensionDetector } = this.context;
        const retries = this.retriesOf(service);
        if (this.takeOwnRetry(retries, clock.now())) {
            this.decisions.own++;
            return true;
        }
        if (clock.now() < retries.nextRequestAt) {
            this.decisions.denied++;
            return false;
        }
        if (clock.now() < this.leaderSilentUntil) {
            this.decisions.undecided++;
            return false;
        }
        const askedAt = suspensionDetector.now();
        const decision = await source.requestRetry(service);
        const now = clock.now();
        if (decision === undefined) {
            this.leaderSilentUntil = now + leaderSilenceTime;
            this.decisions.undecided++;
            return false;
        }
        if (!decision.isGranted) {
            this.decisions.denied++;
            retries.nextRequestAt = now + decision.delay;
            return false;
        }
        this.decisions.granted++;
        retries.granted.add(now);
        return suspensionDetector.now() - askedAt <= grantValidity;
    }

    write(writer: ExpositionWriter): void {
        writer.family("gullhall_retry_decisions_total", "counter", "Decisions on retries that need the retry budget.");
        for (const [decision, count] of Object.entries(this.decisions)) {
            writer.sample("gullhall_retry_decisions_total", { decision }, count);
        }
    }

    private takeOwnRetry(retries: ServiceRetries, now: Milliseconds): boolean {
        const { bounds: { retryFraction, retryReserve }, entryCount } = this.context;
        const reserve = retryReserve / Math.max(1, entryCount());
        const share = ownFraction * (retries.calls.count(now) * retryFraction + reserve);
        const isTaken = retries.own.count(now) + 1 <= Math.floor(share + this.roundingOffset);
        if (isTaken) {
            retries.own.add(now);
        }
        return isTaken;
    }

    private retriesOf(service: string): ServiceRetries {
        const known = this.services.get(service) ?? new ServiceRetries(this.context.bounds.retryWindow);
        this.services.set(service, known);
        return known;
    }
}
