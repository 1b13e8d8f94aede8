import { QuantileEstimator } from "../../src/util/quantileEstimator.js";
import { RandomSource } from "../../src/util/randomSource.js";
import { describe, it } from "../describe.js";

describe("RunningQuantile", () => {
    [0.5, 0.85, 0.9].forEach(quantile => {
        it(`converges to quantile ${quantile} and adapts when the distribution shifts`, t => {
            const random = new RandomSource(5);
            const estimate = new QuantileEstimator(quantile);
            for (const median of [100, 800]) {
                let below = 0;
                for (let sample = 0; sample < 4_000; sample += 1) {
                    const value = random.logNormal(median, 0.6);
                    below += sample >= 1_000 && value <= (estimate.estimate ?? 0) ? 1 : 0;
                    estimate.addSample(value);
                }
                t.true(Math.abs(below / 3_000 - quantile) < 0.03, `${below / 3_000} at median ${median}`);
            }
        });
    });
});
