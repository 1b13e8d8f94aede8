import type { Milliseconds } from "../../util/clock.js";

/** Decision of a rate limiter. */
export type RateDecision =
    | { readonly kind: "conforming"; }
    | { readonly kind: "exceeding"; readonly retryAfter: Milliseconds; };

const conforming: RateDecision = { kind: "conforming" };

/**
 * Rate limiter by the generic cell rate algorithm (ITU-T I.371), in constant memory and time.
 *
 * It stores the theoretical arrival time of the next amount. Each accepted amount advances that time by
 * `amount / rate`, and an amount conforms while the result is ahead of the clock by at most `burst / rate`. Over any
 * time window T it accepts at most `rate * T + burst`, plus the last amount if that is larger than the burst; such an
 * amount conforms only when the limiter is idle.
 */
export class RateLimiter {
    private theoreticalArrivalTime: Milliseconds = -Infinity;

    /**
     * @param amountPerSecond Permitted amount per second.
     * @param burstAmount Amount that conforms at once when the limiter is idle.
     */
    constructor(private amountPerSecond: number, private burstAmount: number) {}

    /** The current rate per second. */
    get rate(): number {
        return this.amountPerSecond;
    }

    /** Whether counted amounts no longer affect any decision. */
    isIdle(now: Milliseconds): boolean {
        return this.theoreticalArrivalTime <= now;
    }

    /** Changes the rate and the burst; amounts counted so far are kept. */
    setRate(amountPerSecond: number, burstAmount: number, now: Milliseconds): void {
        // In thousandths of the amount: the product of milliseconds and an amount per second.
        const backlogThousandths = Math.max(0, this.theoreticalArrivalTime - now) * this.amountPerSecond;
        this.amountPerSecond = amountPerSecond;
        this.burstAmount = burstAmount;
        this.theoreticalArrivalTime = amountPerSecond > 0 ? now + backlogThousandths / amountPerSecond : now;
    }

    /** Checks whether an amount conforms now, without counting it. */
    check(amount: number, now: Milliseconds): RateDecision {
        if (this.amountPerSecond <= 0) {
            return { kind: "exceeding", retryAfter: Infinity };
        }
        const burstTime = (Math.max(this.burstAmount, amount) * 1_000) / this.amountPerSecond;
        const backlogTime = Math.max(0, this.theoreticalArrivalTime - now) + (amount * 1_000) / this.amountPerSecond;
        return backlogTime <= burstTime ? conforming : { kind: "exceeding", retryAfter: backlogTime - burstTime };
    }

    /** Counts an amount whether it conforms or not; a negative amount corrects an earlier count that was too large. */
    count(amount: number, now: Milliseconds): void {
        if (this.amountPerSecond > 0) {
            this.theoreticalArrivalTime = Math.max(this.theoreticalArrivalTime, now)
                + (amount * 1_000) / this.amountPerSecond;
        }
    }
}
