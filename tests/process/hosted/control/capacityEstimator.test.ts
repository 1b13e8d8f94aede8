import { CapacityNeed } from "../../../../src/process/hosted/control/capacityEstimator.js";
import { describe, it } from "../../../describe.js";

describe("need of endpoints", () => {
    it("keeps what serves until traffic has shown what is needed", t => {
        const need = new CapacityNeed(13);
        need.note(0, 0);
        need.note(0, 60_000);
        t.is(need.endpoints, 13);
    });

    it("rises at once with a burst", t => {
        const need = new CapacityNeed(4);
        need.note(6_000, 1_000);
        t.is(need.endpoints, 12);
    });

    it("falls one by one, and only after a lull that lasts", t => {
        const need = new CapacityNeed(4);
        need.note(6_000, 0);
        for (let now = 1_000; now <= 11_000; now += 1_000) {
            need.note(1_000, now);
        }
        t.is(need.endpoints, 11);
        need.note(6_000, 12_000);
        t.is(need.endpoints, 12);
    });
});
