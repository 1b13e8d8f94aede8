import { claimSlots } from "../../../src/experiment/policy/slotClaim.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { describe, it } from "../../describe.js";

describe("claimSlots", () => {
    it("claims twice the free slots on average over all entries, also if the number is negative", t => {
        const random = new RandomSource(3);
        for (const reportedFree of [10, 3, -6]) {
            let sum = 0;
            for (let draw = 0; draw < 8_000; draw += 1) {
                sum += claimSlots(reportedFree, 8, random);
            }
            t.true(Math.abs(sum / 1_000 - 2 * reportedFree) < 0.5, `${sum / 1_000}`);
        }
    });

    it("claims all free slots for a single entry", t => {
        t.is(claimSlots(5, 1, new RandomSource(1)), 5);
    });
});
