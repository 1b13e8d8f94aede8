import { addedTime, median, spreadOf } from "../../../src/experiment/overhead/spread.js";
import { describe, it } from "../../describe.js";

describe("spread", () => {
    describe("median", () => {
        for (const { values, middle } of [{ values: [3, 1, 2], middle: 2 }, { values: [4, 1, 3, 2], middle: 2.5 }]) {
            it(`of ${values.join(", ")} is ${middle}`, t => {
                t.is(median(values), middle);
            });
        }
    });

    it("gives lowest, middle and highest by name", t => {
        t.deepEqual(spreadOf({ entry: [3, 1, 2] }), { entry: { lowest: 1, median: 2, highest: 3 } });
    });

    it("takes the difference to the proxy within each round", t => {
        const added = addedTime({ proxy: [10, 20, 30], entry: [11, 23, 35] });
        t.deepEqual(added, { lowest: 1, median: 3, highest: 5 });
    });
});
