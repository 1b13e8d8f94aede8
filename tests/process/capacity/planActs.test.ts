import fastCheck from "fast-check";
import { planFor } from "../../../src/process/capacity/allocation.js";
import type { FleetMember } from "../../../src/process/capacity/capacityPlanner.js";
import { planActs } from "../../../src/process/capacity/planActs.js";
import { describe, it } from "../../describe.js";
import { createMembers, createPoolView } from "./createPoolView.js";

describe("planActs", () => {
    it("orders in other failure domains while the endpoints of a reclaimed one leave", t => {
        const leaving = createMembers(4, { failureDomain: "hobart-a", cheap: true, state: "leaving" });
        const remaining = createMembers(2, { failureDomain: "hobart-b", cheap: true, state: "live" });
        const offers = createPoolView().offers.map(offer => ({ ...offer, cheap: offer.failureDomain !== "hobart-a" }));
        const view = createPoolView({ fleet: [...leaving, ...remaining], offers });
        const acts = planActs(planFor({ endpoints: 6, protectedEndpoints: 2 }, view, []), view);
        t.deepEqual(acts.starts.map(({ failureDomain, cheap, count }) => [failureDomain, cheap, count]), [
            ["hobart-b", true, 1],
            ["kingston-c", true, 3],
        ]);
        t.deepEqual(acts.drains, []);
    });

    it("releases the more expensive endpoints only once the cheap ones are live", t => {
        const steady = createMembers(3, { failureDomain: "hobart-a", cheap: false, state: "live" });
        const cheap = (state: FleetMember["state"]): readonly FleetMember[] =>
            ["hobart-a", "hobart-b", "kingston-c"].flatMap(failureDomain =>
                createMembers(1, { failureDomain, cheap: true, state })
            );
        const drainsWith = (state: FleetMember["state"]): number => {
            const view = createPoolView({ fleet: [...steady, ...cheap(state)] });
            return planActs(planFor({ endpoints: 3, protectedEndpoints: 2 }, view, []), view).drains.length;
        };
        t.deepEqual([drainsWith("starting"), drainsWith("live")], [0, 3]);
    });

    it("never orders beyond the spend limit nor releases endpoints that the plan contains", t => {
        const member = fastCheck.record({
            failureDomain: fastCheck.constantFrom("hobart-a", "hobart-b", "kingston-c"),
            cheap: fastCheck.boolean(),
            state: fastCheck.constantFrom("ordered", "starting", "live", "draining", "leaving"),
        });
        const property = fastCheck.property(
            fastCheck.array(member, { maxLength: 12 }),
            fastCheck.nat(12),
            fastCheck.nat(8),
            fastCheck.integer({ min: 1, max: 400 }),
            (kinds, endpoints, protectedEndpoints, spendLimitPerHour) => {
                const fleet = kinds.map((kind, index): FleetMember => ({ ...kind, endpoint: `e${index}` }));
                const view = createPoolView({ fleet, spendLimitPerHour });
                const plan = planFor({ endpoints, protectedEndpoints }, view, []);
                const acts = planActs(plan, view);
                const price = (cheap: boolean): number => cheap ? view.cheapPricePerHour : view.steadyPricePerHour;
                const paid = fleet.reduce((total, { cheap }) => total + price(cheap), 0);
                const ordered = acts.starts.reduce((total, { cheap, count }) => total + count * price(cheap), 0);
                t.true(plan.spendPerHour <= spendLimitPerHour);
                t.true(ordered === 0 || paid + ordered <= spendLimitPerHour);
                const live = fleet.filter(({ state }) => state === "live");
                const remainingCount = live.filter(({ endpoint }) => !acts.drains.includes(endpoint)).length;
                const wanted = plan.domains.reduce((total, { steady, cheap }) => total + steady + cheap, 0);
                t.true(remainingCount >= Math.min(live.length, wanted));
            },
        );
        fastCheck.assert(property, { seed: 12, numRuns: 500 });
    });
});
