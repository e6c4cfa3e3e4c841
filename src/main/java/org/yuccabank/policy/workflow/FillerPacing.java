package org.yuccabank.policy.workflow;

import java.util.List;

/**
 * Slows down the filling tasks of a worker while a serving task beside them misses its latency
 * target: cuts at once and gives back in steps. Answers the load in which filling tasks press on
 * serving ones. Not thread-safe.
 */
public final class FillerPacing {

    /** Share of the target above which filling tasks are cut: leaves room for a lagging figure. */
    private static final double CUT_SHARE = 0.9;

    /** Share of the target below which filling tasks get speed back. */
    private static final double RETURN_SHARE = 0.65;

    /** Time between two changes: a figure covers the last half second. */
    private static final long CHANGE_MILLIS = 700;

    /** Percent that one step gives back. */
    private static final int RETURN_STEP = 20;

    /** Each cut keeps this part of the speed. */
    private static final int CUT_DIVISOR = 3;

    /** Below this percent filling tasks stand still, as a small share still presses. */
    private static final int STANDSTILL_PERCENT = 10;

    private int percent = FULL_SPEED;
    private long changedAtMillis = Long.MIN_VALUE / 2;

    /** Speed of a task that is not slowed down. */
    public static final int FULL_SPEED = 100;

    /**
     * What a worker says of one serving task. Immutable.
     *
     * @param latencyMillis its tail latency
     * @param targetMillis its target
     */
    public record Served(long latencyMillis, long targetMillis) {

        private double share() {
            return (double) latencyMillis / Math.max(1, targetMillis);
        }
    }

    /**
     * Decides the speed of the filling tasks.
     *
     * @param served figures of the serving tasks beside them
     * @param nowMillis present time of a steady clock
     * @return percent of the speed for each filling task
     */
    public int decide(List<Served> served, long nowMillis) {
        if (served.isEmpty()) {
            percent = FULL_SPEED;
            return percent;
        }
        if (nowMillis - changedAtMillis < CHANGE_MILLIS) {
            return percent;
        }
        double worst = served.stream().mapToDouble(Served::share).max().orElse(0);
        int before = percent;
        if (worst > CUT_SHARE) {
            percent /= CUT_DIVISOR;
            percent = percent < STANDSTILL_PERCENT ? 0 : percent;
        } else if (worst < RETURN_SHARE) {
            percent = Math.min(FULL_SPEED, percent + RETURN_STEP);
        }
        if (percent != before) {
            changedAtMillis = nowMillis;
        }
        return percent;
    }
}
