import { describe, it } from "../../../describe.js";
import { SimulatedCapacity } from "./simulatedCapacity.js";

/** Time from a reclaim until steady endpoints have replaced what is needed: list, two orders, start, list. */
const replacementTime = 8_000;

/** Time at which the duty has replaced most steady endpoints by spot ones. */
const settled = 20_000;

/** Engine time of one endpoint, in milliseconds per second, at the utilization for which endpoints are ordered. */
const endpointTime = 500;

describe("OrderDuty while spot endpoints are reclaimed and refused", () => {
    for (const domains of [["a", "b", "c"], ["a", "b", "c", "d", "e"]]) {
        for (const needed of [9, 40]) {
            // Guards against callers that wait for engines while steady ones could replace reclaimed spot ones. Pattern:
            // a second failure domain is reclaimed, and demand rises, before spot capacity is back after the first.
            it(`keeps ${needed} needed endpoints over ${domains.length} failure domains`, async t => {
                using capacity = new SimulatedCapacity(domains, Math.ceil(needed / domains.length));
                capacity.engineTime = needed * endpointTime;
                await capacity.runUntil(settled);
                capacity.isSpotUnavailable = true;
                capacity.reclaim("a");
                const afterFirst = await capacity.runUntil(settled + 9_000, settled + replacementTime);
                t.true(afterFirst >= needed, `${afterFirst} endpoints after the first reclaim`);
                capacity.reclaim("b");
                capacity.engineTime = Math.floor(needed * 1.3) * endpointTime;
                const afterSecond = await capacity.runUntil(settled + 20_000, settled + 9_000 + replacementTime);
                t.true(afterSecond >= needed, `${afterSecond} endpoints after the second reclaim`);
            });

            // Guards against steady endpoints that stay although spot ones are available again.
            it(`releases the steady ones of ${needed} over ${domains.length} domains afterwards`, async t => {
                using capacity = new SimulatedCapacity(domains, Math.ceil(needed / domains.length));
                capacity.engineTime = needed * endpointTime;
                await capacity.runUntil(settled);
                const steadyBefore = capacity.serving(true);
                capacity.isSpotUnavailable = true;
                capacity.reclaim("a");
                await capacity.runUntil(settled + 15_000);
                capacity.isSpotUnavailable = false;
                const fewest = await capacity.runUntil(settled + 40_000, settled + 15_000);
                t.true(fewest >= needed, `${fewest} endpoints`);
                t.true(capacity.serving(true) <= steadyBefore, `${capacity.serving(true)} steady endpoints`);
            });
        }
    }

    // Guards against steady endpoints in place of spare ones: the others bear the loss of one failure domain.
    it("orders no steady endpoints for the spare ones of a single reclaim", async t => {
        using capacity = new SimulatedCapacity(["a", "b", "c"], 4);
        capacity.engineTime = 12 * endpointTime;
        await capacity.runUntil(settled);
        const steadyBefore = capacity.serving(true);
        capacity.isSpotUnavailable = true;
        capacity.reclaim("a");
        await capacity.runUntil(settled + 12_000);
        t.true(capacity.serving(true) <= steadyBefore + 4, `${capacity.serving(true)} steady endpoints`);
    });
});
