import { LaggedValue } from "../../src/standIn/laggedValue.js";
import { describe, it } from "../describe.js";

describe("LaggedValue", () => {
    describe("read", () => {
        it("returns the value that was current one lag ago", t => {
            const value = new LaggedValue(100, "first");
            value.write("second", 10);
            value.write("third", 20);
            t.deepEqual([0, 109, 110, 119, 120].map(now => value.read(now)), [
                "first",
                "first",
                "second",
                "second",
                "third",
            ]);
        });

        it("returns the current value when the lag is 0", t => {
            const value = new LaggedValue(0, "first");
            value.write("second", 10);
            t.is(value.read(10), "second");
        });
    });
});
