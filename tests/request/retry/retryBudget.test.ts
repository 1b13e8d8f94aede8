import fastCheck from "fast-check";
import { initialRetries, retriesPerFirstAttempt, RetryBudget } from "../../../src/request/retry/retryBudget.js";
import { describe, it } from "../../describe.js";

describe("RetryBudget", () => {
    it("never allows more retries than a fraction of the first attempts and the initial ones", t => {
        const property = fastCheck.property(fastCheck.array(fastCheck.boolean(), { maxLength: 2_000 }), steps => {
            const budget = new RetryBudget();
            let first = 0;
            let retries = 0;
            for (const isFirst of steps) {
                if (isFirst) {
                    budget.recordFirstAttempt();
                    first++;
                }
                else {
                    retries += budget.tryTakeRetry() ? 1 : 0;
                }
                t.true(retries <= initialRetries + first * retriesPerFirstAttempt + 1e-6);
            }
        });
        fastCheck.assert(property, { seed: 5, numRuns: 60 });
    });

    it("allows retries again after enough first attempts", t => {
        const budget = new RetryBudget();
        while (budget.tryTakeRetry()) {
            // Spends the budget.
        }
        t.false(budget.tryTakeRetry());
        for (let count = 0; count <= 1 / retriesPerFirstAttempt; count++) {
            budget.recordFirstAttempt();
        }
        t.true(budget.tryTakeRetry());
    });
});
