import fastCheck from "fast-check";
import { cheapestMix, planFor, priceOf } from "../../../src/process/capacity/allocation.js";
import { describeReason } from "../../../src/process/capacity/capacityPlanner.js";
import { describe, it } from "../../describe.js";
import { createPoolView } from "./createPoolView.js";

describe("allocation", () => {
    describe("cheapestMix", () => {
        it("meets the requirement after the loss of the largest cheap domain, at the minimum price", t => {
            const property = fastCheck.property(
                fastCheck.nat(12),
                fastCheck.nat(12),
                fastCheck.nat(3),
                fastCheck.integer({ min: 1, max: 60 }),
                (endpoints, protectedEndpoints, cheapDomains, cheapPricePerHour) => {
                    const offers = createPoolView().offers.map((offer, index) => ({
                        ...offer,
                        cheap: index < cheapDomains,
                    }));
                    const view = createPoolView({ offers, cheapPricePerHour });
                    const meets = (steady: number, cheap: number): boolean =>
                        steady + cheap >= endpoints
                        && steady + cheap - (cheap === 0 ? 0 : Math.ceil(cheap / cheapDomains)) >= protectedEndpoints;
                    const mix = cheapestMix({ endpoints, protectedEndpoints }, view);
                    t.true(meets(mix.steady, mix.cheap));
                    for (let steady = 0; steady <= 12; steady += 1) {
                        for (let cheap = 0; cheap <= (cheapDomains === 0 ? 0 : 24); cheap += 1) {
                            t.true(!meets(steady, cheap) || priceOf({ steady, cheap }, view) >= priceOf(mix, view));
                        }
                    }
                },
            );
            fastCheck.assert(property, { seed: 11, numRuns: 150 });
        });
    });

    describe("planFor", () => {
        it("stays within the spend limit, reduces the protected tiers last, and reports the missing endpoints", t => {
            const view = createPoolView({ spendLimitPerHour: 60 });
            const plan = planFor({ endpoints: 6, protectedEndpoints: 2 }, view, []);
            t.true(plan.spendPerHour <= 60);
            const spendLimitReason = plan.reasons.find(reason => reason.kind === "spendLimit");
            t.deepEqual(spendLimitReason, { kind: "spendLimit", missing: 2, firstTierAtRisk: 2 });
            t.true(
                plan.reasons.map(describeReason).some(text => text.includes("the spend limit excludes 2 endpoints")),
            );
        });

        it("spreads endpoints evenly and keeps existing endpoints", t => {
            const fleet = [{ endpoint: "e1", failureDomain: "kingston-c", cheap: true, state: "live" as const }];
            const plan = planFor({ endpoints: 4, protectedEndpoints: 0 }, createPoolView({ fleet }), []);
            t.deepEqual(plan.domains.map(({ cheap }) => cheap), [1, 1, 2]);
        });
    });
});
