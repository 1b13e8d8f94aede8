import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { RateLimiter } from "../../../src/process/limits/rateLimiter.js";
import { describe, it } from "../../describe.js";

const arrivals = fastCheck.array(
    fastCheck.record({ pause: fastCheck.nat(400), amount: fastCheck.integer({ min: 1, max: 30 }) }),
    { minLength: 20, maxLength: 200 },
);

/** Offers every arrival to the limiter; returns the time in milliseconds and the amount of those that it accepted. */
function acceptedArrivals(
    limiter: RateLimiter,
    offered: readonly { pause: number; amount: number; }[],
): readonly [number, number][] {
    const accepted: [number, number][] = [];
    let now = 0;
    for (const { pause, amount } of offered) {
        now += pause;
        if (limiter.check(amount, now).kind === "conforming") {
            limiter.count(amount, now);
            accepted.push([now, amount]);
        }
    }
    return accepted;
}

describe("RateLimiter", () => {
    it("accepts at most `rate * T + burst` over any window T", t => {
        const property = fastCheck.property(arrivals, fastCheck.integer({ min: 1, max: 50 }), (offered, perSecond) => {
            const burst = 40;
            const accepted = acceptedArrivals(new RateLimiter(perSecond, burst), offered);
            accepted.forEach(([start], first) => {
                let sum = 0;
                for (const [time, amount] of accepted.slice(first)) {
                    sum += amount;
                    assert.ok(sum <= (perSecond * (time - start)) / 1_000 + burst + 1e-6);
                }
            });
        });
        t.notThrows(() => {
            fastCheck.assert(property, { seed: 41, numRuns: 200 });
        });
    });

    it("accepts an amount exactly when the `retryAfter` of its refusal has passed", t => {
        const limiter = new RateLimiter(10, 20);
        limiter.count(25, 0);
        const decision = limiter.check(5, 0);
        t.deepEqual(decision, { kind: "exceeding", retryAfter: 1_000 });
        t.is(limiter.check(5, 999).kind, "exceeding");
        t.is(limiter.check(5, 1_000).kind, "conforming");
    });

    it("keeps counted amounts when the rate changes", t => {
        const limiter = new RateLimiter(10, 10);
        limiter.count(10, 0);
        limiter.setRate(1, 10, 0);
        t.deepEqual(limiter.check(1, 0), { kind: "exceeding", retryAfter: 1_000 });
    });

    it("accepts an amount above the burst only when idle", t => {
        const limiter = new RateLimiter(10, 20);
        t.is(limiter.check(100, 0).kind, "conforming");
        limiter.count(1, 0);
        t.is(limiter.check(100, 0).kind, "exceeding");
    });
});
