import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import { boundRetryAfter, drainTime, longestRetryAfter } from "./waitLimits.js";

/**
 * Tells refused callers when to come back, spread out at the rate at which the pool serves.
 *
 * Each refusal of a tier books the next free appointment, so that callers refused together do not return together.
 */
export class RetryAppointments {
    private readonly nextFree = new Array<Milliseconds>(lowestTier + 1).fill(-Infinity);

    /**
     * Books an appointment.
     *
     * @param tier Tier of the refused request.
     * @param wait Expected wait of the tier, in milliseconds.
     * @param requestsPerSecond Requests a second that the pool serves for this entry.
     * @param now The present time.
     * @returns The time until the appointment, in milliseconds.
     */
    book(tier: number, wait: Milliseconds, requestsPerSecond: number, now: Milliseconds): Milliseconds {
        const earliest = now + Math.min(wait, longestRetryAfter);
        const booked = Math.max(this.nextFree[tier] ?? -Infinity, earliest);
        const latest = now + longestRetryAfter;
        const spacing = Math.min(drainTime(1, requestsPerSecond), longestRetryAfter);
        this.nextFree[tier] = booked >= latest ? earliest : booked + spacing;
        return boundRetryAfter(booked - now);
    }
}
