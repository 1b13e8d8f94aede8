import type { Milliseconds } from "../../../util/clock.js";
import type { HostedBounds } from "../hostedSettings.js";

/**
 * Fraction of the bound that is used; the rest covers calls that other entries count differently at the window's edge.
 */
const usedFraction = 0.75;

/** Counts events within a sliding window. */
class SlidingCount {
    private readonly moments: Milliseconds[] = [];

    add(now: Milliseconds): void {
        this.moments.push(now);
    }

    count(now: Milliseconds, span: Milliseconds): number {
        const kept = this.moments.findIndex(moment => moment > now - span);
        this.moments.splice(0, kept < 0 ? this.moments.length : kept);
        return this.moments.length;
    }
}

/**
 * Retry budget: bounds the retries of each service to a fraction of its calls, plus this entry's share of a common
 * reserve, so that the retries of all entries together cannot amplify an overload.
 */
export class RetryAllowance {
    private readonly calls = new Map<string, SlidingCount>();
    private readonly repeats = new Map<string, SlidingCount>();

    constructor(private readonly bounds: HostedBounds) {}

    /** Counts a call to a service. */
    noteCall(service: string, now: Milliseconds): void {
        countOf(this.calls, service).add(now);
    }

    /**
     * Takes one retry from the budget; returns false if the budget is exhausted.
     *
     * @param entries Number of entries that share the reserve.
     */
    takeRepeat(service: string, entries: number, now: Milliseconds): boolean {
        const { retryWindow, retryFraction, retryReserve } = this.bounds;
        const calls = countOf(this.calls, service).count(now, retryWindow);
        const repeats = countOf(this.repeats, service).count(now, retryWindow);
        const allowed = usedFraction * (calls * retryFraction + retryReserve / Math.max(1, entries));
        if (repeats + 1 > allowed) {
            return false;
        }
        countOf(this.repeats, service).add(now);
        return true;
    }
}

function countOf(counts: Map<string, SlidingCount>, service: string): SlidingCount {
    const known = counts.get(service) ?? new SlidingCount();
    counts.set(service, known);
    return known;
}
