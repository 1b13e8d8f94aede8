import { RetryAfterScheduler } from "../../../src/request/admission/retryAfterScheduler.js";
import { describe, it } from "../../describe.js";

/** Returns a scheduler after tier 2 was served at 10 requests per second for one minute. */
function schedulerServingTenPerSecond(): RetryAfterScheduler {
    const scheduler = new RetryAfterScheduler();
    for (let round = 0; round < 600; round += 1) {
        scheduler.recordStarted(2, round * 100);
    }
    return scheduler;
}

describe("RetryAfterScheduler", () => {
    it("spaces return times at the rate at which the tier is served", t => {
        const scheduler = schedulerServingTenPerSecond();
        const retryAfterTimes = [...Array(100).keys()].map(() => scheduler.schedule(2, 50, 60_000));
        t.true(Math.abs((retryAfterTimes[0] ?? 0) - 5_100) < 100);
        t.true(Math.abs((retryAfterTimes[99] ?? 0) - (retryAfterTimes[0] ?? 0) - 9_900) < 200);
    });

    it("spreads return times over the upper half of the maximum for a tier that is not served", t => {
        const scheduler = schedulerServingTenPerSecond();
        const retryAfterTimes = [...Array(300).keys()].map(() => scheduler.schedule(4, 1, 60_000));
        const inTenths = [...Array(10).keys()].map(tenth => {
            return retryAfterTimes.filter(time => Math.floor((time - 30_000) / 3_000) === tenth).length;
        });
        t.true(inTenths.every(count => count >= 25 && count <= 35), inTenths.join());
    });
});
