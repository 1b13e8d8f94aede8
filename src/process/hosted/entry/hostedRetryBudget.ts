import type { Milliseconds } from "../../../util/clock.js";
import type { HostedBounds } from "../hostedSettings.js";

/**
 * Fraction of the bound that is used; the rest covers calls that other entries count differently at the window's edge.
 */
const usableFraction = 0.75;

/** Counts events within a sliding window. */
class SlidingWindowCounter {
    private readonly timestamps: Milliseconds[] = [];

    add(now: Milliseconds): void {
        this.timestamps.push(now);
    }

    count(now: Milliseconds, windowLength: Milliseconds): number {
        const firstInWindow = this.timestamps.findIndex(timestamp => timestamp > now - windowLength);
        this.timestamps.splice(0, firstInWindow < 0 ? this.timestamps.length : firstInWindow);
        return this.timestamps.length;
    }
}

/**
 * Retry budget: bounds the retries of each service to a fraction of its calls, plus this entry's share of a common
 * reserve, so that the retries of all entries together cannot amplify an overload.
 */
export class HostedRetryBudget {
    private readonly calls = new Map<string, SlidingWindowCounter>();
    private readonly retries = new Map<string, SlidingWindowCounter>();

    constructor(private readonly bounds: HostedBounds) {}

    /** Counts a call to a service. */
    recordCall(service: string, now: Milliseconds): void {
        counterOf(this.calls, service).add(now);
    }

    /**
     * Takes one retry from the budget; returns false if the budget is exhausted.
     *
     * @param entries Number of entries that share the reserve.
     */
    tryTakeRetry(service: string, entries: number, now: Milliseconds): boolean {
        const { retryWindow, retryFraction, retryReserve } = this.bounds;
        const recentCalls = counterOf(this.calls, service).count(now, retryWindow);
        const recentRetries = counterOf(this.retries, service).count(now, retryWindow);
        const allowed = usableFraction * (recentCalls * retryFraction + retryReserve / Math.max(1, entries));
        if (recentRetries + 1 > allowed) {
            return false;
        }
        counterOf(this.retries, service).add(now);
        return true;
    }
}

function counterOf(counts: Map<string, SlidingWindowCounter>, service: string): SlidingWindowCounter {
    const known = counts.get(service) ?? new SlidingWindowCounter();
    counts.set(service, known);
    return known;
}
