/** Retries that a class may make before its first attempts have earned any. */
export const initialRetries = 10;

/** Retries that each first attempt earns. */
export const retriesPerFirstAttempt = 0.1;

/** Retries that can be saved up at most. */
const maximumSaved = 100;

/**
 * Bounds the retries of one class to a fraction of its first attempts (a token bucket; compare Finagle's retry budgets
 * and "The Site Reliability Workbook", ch. 11), so that retries never amplify an overload.
 */
export class RetryBudget {
    private saved = initialRetries;

    /** Earns a fraction of a retry. */
    recordFirstAttempt(): void {
        this.saved = Math.min(maximumSaved, this.saved + retriesPerFirstAttempt);
    }

    /** Takes one retry from the budget; false when it is spent. */
    tryTakeRetry(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved--;
        return true;
    }
}

/** The retry budgets of the classes. */
export class RetryBudgets {
    private readonly budgets = new Map<string, RetryBudget>();

    /** The budget of a class. */
    budgetOf(requestClass: string): RetryBudget {
        const known = this.budgets.get(requestClass);
        if (known !== undefined) {
            return known;
        }
        const created = new RetryBudget();
        this.budgets.set(requestClass, created);
        return created;
    }
}
