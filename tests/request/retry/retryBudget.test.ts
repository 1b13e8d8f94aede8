import fastCheck from "fast-check";
import { initialRetries, retriesPerFirstAttempt, RetryBudget } from "../../../src/request/retry/retryBudget.js";
import { describe, it } from "../../describe.js";

describe("RetryBudget", () => {
    it("never allows more retries than the initial ones and a fraction of the first attempts", t => {
        const property = fastCheck.property(fastCheck.array(fastCheck.boolean(), { maxLength: 2_000 }), steps => {
            const budget = new RetryBudget();
            let firstAttempts = 0;
            let retries = 0;
            for (const isFirst of steps) {
                if (isFirst) {
                    budget.recordFirstAttempt();
                    firstAttempts++;
                }
                else {
                    retries += budget.tryTakeRetry() ? 1 : 0;
                }
                t.true(retries <= initialRetries + firstAttempts * retriesPerFirstAttempt + 1e-6);
            }
        });
        fastCheck.assert(property, { seed: 5, numRuns: 60 });
    });

    it("allows retries again after enough first attempts", t => {
        const budget = new RetryBudget();
        while (budget.tryTakeRetry()) {
            // Empties the budget.
        }
        t.false(budget.tryTakeRetry());
        for (let count = 0; count <= 1 / retriesPerFirstAttempt; count++) {
            budget.recordFirstAttempt();
        }
        t.true(budget.tryTakeRetry());
    });
});
