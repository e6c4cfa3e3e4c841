package org.yuccabank.policy.routing;

import java.util.OptionalLong;

/**
 * Sends a second attempt of an idempotent request when the first is slower than most recent
 * requests, if a free slot is expected elsewhere, within a budget of its own.
 *
 * <p>While second attempts rarely answer first, they cost capacity without benefit, so only a small
 * probing budget remains until they pay again. Mutable; confined to one thread.
 */
public final class QuantileHedge implements HedgePolicy {

    /** Second attempts are sent after this percentile of recent answer times. */
    private static final double PERCENTILE = 95;

    /** Second attempts allowed per 100 requests while they pay. */
    private static final int BUDGET_PERCENT = 5;

    /** Second attempts allowed per 100 requests to find out whether they pay. */
    private static final int PROBE_PERCENT = 1;

    /** Second attempts pay if at least this part of them answers first. */
    private static final double PAYING_WIN_SHARE = 0.5;

    private static final double WIN_WEIGHT = 1.0 / 32;

    private final ServiceTimes answerTimes = new ServiceTimes(PERCENTILE);
    private final RetryBudget budget = RetryBudget.ofPercent(BUDGET_PERCENT);
    private final RetryBudget probes = RetryBudget.ofPercent(PROBE_PERCENT);
    private double winShare;

    private QuantileHedge() {}

    /**
     * Creates a policy that starts with probing.
     *
     * @return the policy
     */
    public static QuantileHedge create() {
        return new QuantileHedge();
    }

    @Override
    public OptionalLong delayMillis(boolean idempotent, long nowMillis) {
        budget.requestStarted(nowMillis);
        probes.requestStarted(nowMillis);
        long quantile = answerTimes.quantileMicros();
        return idempotent && quantile > 0
                ? OptionalLong.of((quantile + 999) / 1000)
                : OptionalLong.empty();
    }

    @Override
    public boolean tryHedge(Route route, Deadline deadline, long nowMillis) {
        boolean isUseful =
                route.waitMicros() == 0
                        && route.totalMicros() <= deadline.millisLeft(nowMillis) * 1000;
        if (!isUseful) {
            return false;
        }
        RetryBudget applicable = winShare >= PAYING_WIN_SHARE ? budget : probes;
        return applicable.tryAcquire(nowMillis);
    }

    @Override
    public void answered(
            long elapsedMicros, boolean hedged, boolean bySecondAttempt, long nowMillis) {
        answerTimes.add(elapsedMicros, nowMillis);
        if (hedged) {
            winShare += WIN_WEIGHT * ((bySecondAttempt ? 1 : 0) - winShare);
        }
    }
}
