import { CapacityEstimator } from "../../../../src/process/hosted/control/capacityEstimator.js";
import { describe, it } from "../../../describe.js";

describe("CapacityEstimator", () => {
    it("keeps the initial number of endpoints until there is traffic", t => {
        const estimator = new CapacityEstimator(13);
        estimator.update(0, 0);
        estimator.update(0, 60_000);
        t.is(estimator.endpoints, 13);
    });

    it("scales up immediately in a burst", t => {
        const estimator = new CapacityEstimator(4);
        estimator.update(6_000, 1_000);
        t.is(estimator.endpoints, 12);
    });

    // Guards against fleets that are released the more slowly the larger they are. Pattern: demand falls to a third.
    it("takes as long to release a large fleet as a small one", t => {
        const releaseTimes = [12, 60, 300].map(endpoints => {
            const estimator = new CapacityEstimator(endpoints);
            estimator.update(endpoints * 500, 0);
            let now = 0;
            while (estimator.endpoints > endpoints / 3) {
                now += 1_000;
                estimator.update(endpoints * 500 / 3, now);
            }
            return now;
        });
        t.true(Math.max(...releaseTimes) <= 1.5 * Math.min(...releaseTimes), releaseTimes.join(", "));
    });

    it("does not release more than the demand allows", t => {
        const estimator = new CapacityEstimator(300);
        for (let now = 0; now <= 60_000; now += 1_000) {
            estimator.update(149_000, now);
        }
        t.is(estimator.endpoints, 298);
    });

    it("scales a small fleet down one endpoint at a time, and only after demand has stayed low", t => {
        const estimator = new CapacityEstimator(4);
        estimator.update(6_000, 0);
        for (let now = 1_000; now <= 11_000; now += 1_000) {
            estimator.update(1_000, now);
        }
        t.is(estimator.endpoints, 11);
        estimator.update(6_000, 12_000);
        t.is(estimator.endpoints, 12);
    });
});
