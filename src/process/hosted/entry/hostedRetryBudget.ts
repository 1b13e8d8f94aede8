import type { Milliseconds } from "../../../util/clock.js";
import type { HostedBounds } from "../hostedSettings.js";

/** Part of the bound that is used; the rest covers calls that other entries count differently at the window's edge. */
const usedFraction = 0.75;

/** Moments within a sliding window. */
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
 * Bounds repeated dispatches to a service to a fraction of its calls, plus this entry's part of a common reserve, so that
 * repeats of all entries together never amplify an overload.
 */
export class RetryAllowance {
    private readonly calls = new Map<string, SlidingCount>();
    private readonly repeats = new Map<string, SlidingCount>();

    constructor(private readonly bounds: HostedBounds) {}

    /** Counts a call for a service. */
    noteCall(service: string, now: Milliseconds): void {
        countOf(this.calls, service).add(now);
    }

    /**
     * Takes one repeat from the allowance; false when it is spent.
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
