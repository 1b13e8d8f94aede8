import { fitLine } from "../../../src/experiment/slopes/linearFit.js";
import { describe, it } from "../../describe.js";

describe("fitLine", () => {
    it("finds the line through collinear points", t => {
        const points = [1, 2, 5].map(size => ({ size, value: 3 + 2 * size }));
        const fit = fitLine(points);
        t.true(Math.abs(fit.slope - 2) < 1e-9);
        t.true(Math.abs(fit.intercept - 3) < 1e-9);
        t.true(fit.residual < 1e-9);
        t.true(fit.slopeError < 1e-9);
    });

    it("computes the slope error and the residual of points off the line", t => {
        const fit = fitLine([{ size: 0, value: 0 }, { size: 1, value: 3 }, { size: 2, value: 0 }]);
        t.is(fit.slope, 0);
        t.is(fit.intercept, 1);
        t.true(Math.abs(fit.residual - Math.SQRT2) < 1e-9);
        t.true(Math.abs(fit.slopeError - Math.sqrt(3)) < 1e-9);
    });

    it("throws if all points have the same size", t => {
        t.throws(() => fitLine([{ size: 1, value: 1 }, { size: 1, value: 2 }]), { instanceOf: RangeError });
    });
});
