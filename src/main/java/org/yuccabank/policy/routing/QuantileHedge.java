package org.yuccabank.policy.routing;

import java.util.OptionalLong;

/**
 * Sends a second attempt of an idempotent request when the first is slower than most recent
 * requests, if a free slot is expected elsewhere, within a budget of its own.
 *
 * <p>Only the slowest percent of requests qualifies in quiet times, and no second attempt is sent
 * when requests wait everywhere, so hedging never feeds an overload. Mutable; confined to one
 * thread.
 */
public final class QuantileHedge implements HedgePolicy {

    /** Second attempts are sent after this percentile of recent answer times; 95 cost more. */
    private static final double PERCENTILE = 99;

    /** Second attempts allowed per 100 requests; reached only while a target is in trouble. */
    private static final int BUDGET_PERCENT = 5;

    private final SlidingQuantile responseTimes = new SlidingQuantile(PERCENTILE);
    private final RetryBudget budget = RetryBudget.ofPercent(BUDGET_PERCENT);

    private QuantileHedge() {}

    /**
     * Creates a policy that has seen no answers.
     *
     * @return the policy
     */
    public static QuantileHedge create() {
        return new QuantileHedge();
    }

    @Override
    public OptionalLong delayMillis(boolean idempotent, long nowMillis) {
        budget.requestStarted(nowMillis);
        long quantile = responseTimes.quantileMicros();
        return idempotent && quantile > 0
                ? OptionalLong.of((quantile + 999) / 1000)
                : OptionalLong.empty();
    }

    @Override
    public boolean tryHedge(Route route, Deadline deadline, long nowMillis) {
        boolean isUseful =
                route.waitMicros() == 0
                        && route.totalMicros() <= deadline.remainingMillis(nowMillis) * 1000;
        return isUseful && budget.tryAcquire(nowMillis);
    }

    @Override
    public void recordAnswer(long elapsedMicros, long nowMillis) {
        responseTimes.add(elapsedMicros, nowMillis);
    }
}
