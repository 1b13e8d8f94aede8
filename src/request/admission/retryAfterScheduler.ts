import type { Milliseconds } from "../../util/clock.js";
import { ExponentialRateEstimator } from "../../util/exponentialRateEstimator.js";
import { lowestTier } from "../../version/manifest.js";
import { clampRetryAfter, drainTime, maximumRetryAfter } from "./waitLimits.js";

/** Averaging time of the rate at which requests of a tier start, in milliseconds. */
const averagingTime: Milliseconds = 10_000;

/** Fractional part of the golden ratio: its multiples modulo 1 are evenly distributed for any number of samples. */
const goldenRatioFraction = 0.618_033_988_749_895;

/**
 * Computes retry-after times for refused requests, spaced at the rate at which their tier is served.
 *
 * Each refused request gets the next free return time of its tier, so that callers refused together do not retry
 * together. If the rate is too low for that, the times are spread over the upper half of the maximum retry-after.
 */
export class RetryAfterScheduler {
    private readonly startRates = Array.from(
        { length: lowestTier + 1 },
        () => new ExponentialRateEstimator(averagingTime),
    );
    private readonly nextReturnAt = new Array<Milliseconds>(lowestTier + 1).fill(-Infinity);
    private spreadCount = 0;

    /** Records that a request of a tier started. */
    recordStarted(tier: number, now: Milliseconds): void {
        this.startRates[tier]?.add(1, now);
    }

    /**
     * Reserves the next return time of a tier.
     *
     * @param tier Tier of the refused request.
     * @param waiting Number of waiting requests of the tier.
     * @param now Current monotonic time in milliseconds.
     * @returns The retry-after time, in milliseconds from `now`.
     */
    schedule(tier: number, waiting: number, now: Milliseconds): Milliseconds {
        const perSecond = this.startRates[tier]?.perSecond(now) ?? 0;
        const earliestAt = now + drainTime(waiting + 1, perSecond);
        const returnAt = Math.max(this.nextReturnAt[tier] ?? -Infinity, earliestAt);
        if (returnAt > now + maximumRetryAfter) {
            this.spreadCount += 1;
            const fraction = (this.spreadCount * goldenRatioFraction) % 1;
            return clampRetryAfter((maximumRetryAfter * (1 + fraction)) / 2);
        }
        this.nextReturnAt[tier] = returnAt + drainTime(1, perSecond);
        return clampRetryAfter(returnAt - now);
    }
}
