import { CapacityEstimator } from "../../../../src/process/hosted/control/capacityEstimator.js";
import { describe, it } from "../../../describe.js";

describe("CapacityNeed", () => {
    it("keeps the initial number of endpoints until there is traffic", t => {
        const need = new CapacityEstimator(13);
        need.update(0, 0);
        need.update(0, 60_000);
        t.is(need.endpoints, 13);
    });

    it("scales up immediately in a burst", t => {
        const need = new CapacityEstimator(4);
        need.update(6_000, 1_000);
        t.is(need.endpoints, 12);
    });

    it("scales down one endpoint at a time, and only after demand has stayed low", t => {
        const need = new CapacityEstimator(4);
        need.update(6_000, 0);
        for (let now = 1_000; now <= 11_000; now += 1_000) {
            need.update(1_000, now);
        }
        t.is(need.endpoints, 11);
        need.update(6_000, 12_000);
        t.is(need.endpoints, 12);
    });
});
