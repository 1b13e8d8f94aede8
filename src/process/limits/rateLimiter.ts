import type { Milliseconds } from "../../util/clock.js";

/** What a rate limiter says to a request. */
export type RateDecision =
    | { readonly kind: "conforming"; }
    | { readonly kind: "exceeding"; readonly retryAfter: Milliseconds; };

const conforming: RateDecision = { kind: "conforming" };

/**
 * Limits a rate by the generic cell rate algorithm (ITU-T I.371), in constant memory and time.
 *
 * It keeps the theoretical arrival time of the next amount: each accepted amount moves it on by the time that the amount
 * is worth at the rate, and an amount conforms while that time is not further ahead than the burst allows. Over any
 * window of time T it accepts at most `rate * T + burst` amounts, and the last one in addition where it is larger.
 */
export class RateLimiter {
    private theoreticalArrival: Milliseconds = -Infinity;

    /**
     * @param perSecond Amount a second.
     * @param burst Amount that may come at once after a pause.
     */
    constructor(private perSecond: number, private burst: number) {}

    /** The present rate a second. */
    get rate(): number {
        return this.perSecond;
    }

    /** Whether nothing that was counted matters any more. */
    isSettled(now: Milliseconds): boolean {
        return this.theoreticalArrival <= now;
    }

    /** Changes the rate from now on; what was accepted before keeps counting. */
    setRate(perSecond: number, burst: number, now: Milliseconds): void {
        const aheadAmount = Math.max(0, this.theoreticalArrival - now) * this.perSecond;
        this.perSecond = perSecond;
        this.burst = burst;
        this.theoreticalArrival = perSecond > 0 ? now + aheadAmount / perSecond : now;
    }

    /** Whether an amount conforms now; it is not counted. */
    check(amount: number, now: Milliseconds): RateDecision {
        if (this.perSecond <= 0) {
            return { kind: "exceeding", retryAfter: Infinity };
        }
        const burstTime = (Math.max(this.burst, amount) * 1_000) / this.perSecond;
        const ahead = Math.max(0, this.theoreticalArrival - now) + (amount * 1_000) / this.perSecond;
        return ahead <= burstTime ? conforming : { kind: "exceeding", retryAfter: ahead - burstTime };
    }

    /** Counts an amount, whether it conforms or not; a negative one gives back what was counted too much. */
    count(amount: number, now: Milliseconds): void {
        if (this.perSecond > 0) {
            this.theoreticalArrival = Math.max(this.theoreticalArrival, now) + (amount * 1_000) / this.perSecond;
        }
    }
}
