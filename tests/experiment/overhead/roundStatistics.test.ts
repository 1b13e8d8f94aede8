import { entryOverhead, median, summariseRounds } from "../../../src/experiment/overhead/roundStatistics.js";
import { describe, it } from "../../describe.js";

describe("round statistics", () => {
    describe("median", () => {
        for (
            const { values, result } of [{ values: [3, 1, 2], result: 2 }, { values: [4, 1, 3, 2], result: 2.5 }]
        ) {
            it(`of ${values.join(", ")} is ${result}`, t => {
                t.is(median(values), result);
            });
        }
    });

    it("gives minimum, median and maximum for each name", t => {
        t.deepEqual(summariseRounds({ entry: [3, 1, 2] }), { entry: { lowest: 1, median: 2, highest: 3 } });
    });

    it("subtracts the value of the proxy within each round", t => {
        const overhead = entryOverhead({ proxy: [10, 20, 30], entry: [11, 23, 35] });
        t.deepEqual(overhead, { lowest: 1, median: 3, highest: 5 });
    });
});
