import { planDomain, spreadOverDomains } from "../../../../src/process/hosted/control/domainPlan.js";
import { describe, it } from "../../../describe.js";

const scaling = { minimum: 1, maximum: 8, startupTime: 4_000, prices: { north: 1 }, spotPriceFraction: 0.2 };

describe("plan of a failure domain", () => {
    it("orders spot endpoints and keeps steady ones until the spot ones are present", t => {
        const before = planDomain({
            desired: 6,
            needed: 4,
            present: { steady: 4, spot: 0 },
            isSpotScarce: false,
            scaling,
        });
        t.deepEqual(before, { steady: 4, spot: 4 });
        const after = planDomain({
            desired: 6,
            needed: 4,
            present: { steady: 4, spot: 5 },
            isSpotScarce: false,
            scaling,
        });
        t.deepEqual(after, { steady: 1, spot: 5 });
    });

    describe("while spot endpoints are unavailable", () => {
        for (
            const [title, input, expected] of [
                ["covers what is needed with steady endpoints", { needed: 4, spot: 0 }, { steady: 4, spot: 4 }],
                ["counts the spot endpoints that are left", { needed: 4, spot: 3 }, { steady: 1, spot: 5 }],
                ["keeps the minimum of steady endpoints", { needed: 4, spot: 6 }, { steady: 1, spot: 5 }],
                ["leaves room to ask for a spot endpoint", { needed: 9, spot: 0 }, { steady: 7, spot: 1 }],
            ] as const
        ) {
            it(title, t => {
                const { needed, spot } = input;
                const desired = needed + 2;
                const present = { steady: 1, spot };
                t.deepEqual(planDomain({ desired, needed, present, isSpotScarce: true, scaling }), expected);
            });
        }
    });

    it("replaces steady endpoints step by step when the maximum leaves no room for extra ones", t => {
        let present = { steady: 8, spot: 0 };
        for (let step = 0; step < 6; step++) {
            present = planDomain({ desired: 8, needed: 8, present, isSpotScarce: false, scaling });
            t.true(present.steady + present.spot <= scaling.maximum);
        }
        t.deepEqual(present, { steady: 1, spot: 7 });
    });

    it("respects minimum and maximum, and uses only steady endpoints without a spot price", t => {
        const steadyOnly = { ...scaling, spotPriceFraction: undefined };
        const present = { steady: 4, spot: 0 };
        t.deepEqual(planDomain({ desired: 20, needed: 20, present, isSpotScarce: false, scaling: steadyOnly }), {
            steady: 8,
            spot: 0,
        });
        t.deepEqual(planDomain({ desired: 0, needed: 0, present, isSpotScarce: false, scaling: steadyOnly }), {
            steady: 1,
            spot: 0,
        });
    });

    it("spreads endpoints evenly, the remainder over the cheapest domains, and tolerates the loss of one domain", t => {
        const spread = spreadOverDomains(7, { north: 1.2, south: 0.8, west: 1 });
        t.deepEqual(Object.fromEntries(spread), { south: 4, west: 4, north: 3 });
        t.deepEqual(Object.fromEntries(spreadOverDomains(7, { north: 1 })), { north: 7 });
    });
});
