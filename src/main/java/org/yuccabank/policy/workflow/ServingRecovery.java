package org.yuccabank.policy.workflow;

/**
 * Holds new best-effort tasks back while many serving tasks are without a worker. After a loss of
 * power workers return one by one, and the first ones are free of serving tasks: best-effort tasks
 * would fill them, and the serving tasks that follow would miss their targets for seconds. Not
 * thread-safe.
 */
public final class ServingRecovery {

    /** Share of the serving tasks without a worker from which best-effort tasks wait. */
    private static final double MINIMUM_DISPLACED_SHARE = 0.1;

    /**
     * Longest time for which best-effort tasks wait, about the time within which a restarted worker
     * and its agent report. A worker that is lost for good must not hold up the fleet.
     */
    private static final long MAXIMUM_HOLD_MILLIS = 2_000;

    private long displacedSinceMillis = Long.MAX_VALUE;

    /**
     * Returns whether best-effort tasks should wait.
     *
     * @param placed number of serving tasks with a run on a worker that reports
     * @param displaced number of serving tasks that wait, or whose worker does not report
     * @param nowMillis current time of a monotonic clock
     * @return true if no best-effort task should start now
     */
    public boolean shouldHoldBestEffort(int placed, int displaced, long nowMillis) {
        if (displaced <= MINIMUM_DISPLACED_SHARE * (placed + displaced)) {
            displacedSinceMillis = Long.MAX_VALUE;
            return false;
        }
        displacedSinceMillis = Math.min(displacedSinceMillis, nowMillis);
        return nowMillis - displacedSinceMillis < MAXIMUM_HOLD_MILLIS;
    }
}
