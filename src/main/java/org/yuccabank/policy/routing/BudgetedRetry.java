package org.yuccabank.policy.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * Retries within a {@link RetryBudget}: idempotent requests after any failure, others only if there
 * is evidence that no attempt ran. No request is retried after its deadline. Mutable; confined to
 * one thread.
 */
public final class BudgetedRetry implements RetryPolicy {

    /** Maximum number of attempts per request, including the first. */
    public static final int MAXIMUM_ATTEMPTS = 3;

    private final RetryBudget budget;

    private BudgetedRetry(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Creates a policy.
     *
     * @param budget retry budget of this entry process
     * @return the policy
     */
    public static BudgetedRetry of(RetryBudget budget) {
        return new BudgetedRetry(Objects.requireNonNull(budget, "budget is null"));
    }

    @Override
    public void requestStarted(long nowMillis) {
        budget.requestStarted(nowMillis);
    }

    @Override
    public Optional<RouteRequest> retry(
            Attempts attempts, boolean idempotent, Deadline deadline, long nowMillis) {
        boolean isSafe = idempotent || !attempts.mayHaveRun();
        if (!isSafe
                || attempts.count() >= MAXIMUM_ATTEMPTS
                || deadline.isLate(nowMillis)
                || !budget.tryAcquire(nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(new RouteRequest(deadline, attempts.tried()));
    }
}
