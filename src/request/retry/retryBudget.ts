/** Retries available to a class before its first attempts add any. */
export const initialRetries = 10;

/** Retries that each first attempt adds to the budget. */
export const retriesPerFirstAttempt = 0.1;

/** Maximum number of available retries. */
const maximumAvailableRetries = 100;

/**
 * Limits the retries of one class to a fraction of its first attempts, so that retries do not amplify an overload.
 *
 * A token bucket; compare Finagle's retry budgets and "The Site Reliability Workbook", ch. 11.
 */
export class RetryBudget {
    private availableRetries = initialRetries;

    /** Adds {@link retriesPerFirstAttempt} to the budget. */
    recordFirstAttempt(): void {
        this.availableRetries = Math.min(maximumAvailableRetries, this.availableRetries + retriesPerFirstAttempt);
    }

    /** Takes one retry from the budget; returns false if less than one is available. */
    tryTakeRetry(): boolean {
        if (this.availableRetries < 1) {
            return false;
        }
        this.availableRetries--;
        return true;
    }
}

/** The retry budgets of the classes. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    /** Returns the budget of a class, which is created on first use. */
    budgetOf(requestClass: string): RetryBudget {
        const existing = this.budgets.get(requestClass);
        if (existing !== undefined) {
            return existing;
        }
        const created = new RetryBudget();
        this.budgets.set(requestClass, created);
        return created;
    }
}
