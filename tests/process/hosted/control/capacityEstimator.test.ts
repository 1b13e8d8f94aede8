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

    it("scales down one endpoint at a time, and only after demand has stayed low", t => {
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
