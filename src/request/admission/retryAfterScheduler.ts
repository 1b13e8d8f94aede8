import type { Milliseconds } from "../../util/clock.js";
import { DecayingRate } from "../../util/decayingRate.js";
import { lowestTier } from "../../version/manifest.js";
import { clampRetryAfter, drainTime, longestRetryAfter } from "./waitLimits.js";

/** Time over which the service of a tier is averaged, in milliseconds. */
const averagingTime: Milliseconds = 10_000;

/** Fraction of the golden ratio: its multiples, taken modulo one, are spread evenly however many are drawn. */
const goldenFraction = 0.618_033_988_749_895;

/**
 * Tells refused callers when to come back, spread out at the rate at which their tier is served.
 *
 * Each refusal books the next free appointment of its tier, so that callers refused together do not return together.
 * Where the tier is served too slowly for that, returns are spread over the later half of the longest retry-after.
 */
export class RetryAppointments {
    private readonly rates = Array.from({ length: lowestTier + 1 }, () => new DecayingRate(averagingTime));
    private readonly nextFree = new Array<Milliseconds>(lowestTier + 1).fill(-Infinity);
    private overbooked = 0;

    /** Notes that a request of a tier was started. */
    noteStarted(tier: number, now: Milliseconds): void {
        this.rates[tier]?.add(1, now);
    }

    /**
     * Books an appointment.
     *
     * @param tier Tier of the refused request.
     * @param waiting Requests of the tier that wait.
     * @param now The present time.
     * @returns The time until the appointment, in milliseconds.
     */
    book(tier: number, waiting: number, now: Milliseconds): Milliseconds {
        const perSecond = this.rates[tier]?.perSecond(now) ?? 0;
        const earliest = now + drainTime(waiting + 1, perSecond);
        const booked = Math.max(this.nextFree[tier] ?? -Infinity, earliest);
        if (booked > now + longestRetryAfter) {
            this.overbooked += 1;
            const part = (this.overbooked * goldenFraction) % 1;
            return clampRetryAfter((longestRetryAfter * (1 + part)) / 2);
        }
        this.nextFree[tier] = booked + drainTime(1, perSecond);
        return clampRetryAfter(booked - now);
    }
}
