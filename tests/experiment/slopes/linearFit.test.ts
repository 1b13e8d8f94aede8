import { linearFit } from "../../../src/experiment/slopes/linearFit.js";
import { describe, it } from "../../describe.js";

describe("linearFit", () => {
    it("finds the line that all points lie on", t => {
        const points = [1, 2, 5].map(size => ({ size, value: 3 + 2 * size }));
        const fit = linearFit(points);
        t.true(Math.abs(fit.slope - 2) < 1e-9);
        t.true(Math.abs(fit.intercept - 3) < 1e-9);
        t.true(fit.residual < 1e-9);
        t.true(fit.slopeError < 1e-9);
    });

    it("tells how far points lie from the line", t => {
        const fit = linearFit([{ size: 0, value: 0 }, { size: 1, value: 3 }, { size: 2, value: 0 }]);
        t.is(fit.slope, 0);
        t.is(fit.intercept, 1);
        t.true(Math.abs(fit.residual - Math.SQRT2) < 1e-9);
        t.true(Math.abs(fit.slopeError - Math.sqrt(3)) < 1e-9);
    });

    it("refuses points of one size", t => {
        t.throws(() => linearFit([{ size: 1, value: 1 }, { size: 1, value: 2 }]), { instanceOf: RangeError });
    });
});
