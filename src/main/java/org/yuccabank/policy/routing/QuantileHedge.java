package org.yuccabank.policy.routing;

import java.util.OptionalLong;

/**
 * Hedges an idempotent request that is slower than most recent requests, if another target is
 * expected to have a free slot, within its own budget.
 *
 * <p>Under normal load only the slowest 1 % of requests qualify. No second attempt is sent while
 * requests wait at all targets, so hedging does not amplify an overload. Mutable; confined to one
 * thread.
 */
public final class QuantileHedge implements HedgePolicy {

    /** Percentile of recent response times after which a request is hedged; 95 costs more. */
    private static final double PERCENTILE = 99;

    /** Second attempts allowed per 100 requests; reached only while a target is slow or failing. */
    private static final int BUDGET_PERCENT = 5;

    private final SlidingQuantile responseTimes = new SlidingQuantile(PERCENTILE);
    private final RetryBudget budget = RetryBudget.ofPercent(BUDGET_PERCENT);

    private QuantileHedge() {}

    /**
     * Creates a policy without recorded answers.
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
