import { HostedRetryBudget } from "../../../../src/process/hosted/entry/hostedRetryBudget.js";
import { describe, it } from "../../../describe.js";

const bounds = {
    keyWithdrawal: 5_000,
    shutdown: 8_000,
    dutyHandoverDelay: 3_000,
    usageWindow: 5_000,
    retryWindow: 10_000,
    retryFraction: 0.2,
    retryReserve: 40,
    resolutionTimeToLive: 5_000,
};

function takeAllRetries(budget: HostedRetryBudget, entries: number, now: number): number {
    let taken = 0;
    while (budget.tryTakeRetry("desk", entries, now)) {
        taken++;
    }
    return taken;
}

describe("retry budget", () => {
    it("stays below the common bound if all entries exhaust their shares", t => {
        const calls = 200;
        const entries = 8;
        let taken = 0;
        for (let entry = 0; entry < entries; entry++) {
            const budget = new HostedRetryBudget(bounds);
            for (let call = 0; call < calls; call++) {
                budget.recordCall("desk", call);
            }
            taken += takeAllRetries(budget, entries, 1_000);
        }
        t.true(taken > 0);
        t.true(taken <= entries * calls * bounds.retryFraction + bounds.retryReserve);
    });

    it("drops calls and retries that have left the window", t => {
        const budget = new HostedRetryBudget(bounds);
        const first = takeAllRetries(budget, 1, 0);
        t.is(takeAllRetries(budget, 1, 9_000), 0);
        t.is(takeAllRetries(budget, 1, 10_001), first);
    });

    it("is separate for each service", t => {
        const budget = new HostedRetryBudget(bounds);
        takeAllRetries(budget, 1, 0);
        t.true(budget.tryTakeRetry("engines", 1, 0));
    });
});
