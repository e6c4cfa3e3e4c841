package org.yuccabank.policy.workflow;

import java.util.OptionalLong;

/**
 * Refuses work whose end is expected only after it is worth nothing. Answers the overload in which
 * a growing backlog is worked off too late for everybody. Has no state.
 */
public final class BacklogAdmission {

    /** Callers that come back sooner than this find the same backlog. */
    private static final long LEAST_RETURN_MILLIS = 1_000;

    /** Backlogs change within this time, so that a longer absence is not asked for. */
    private static final long LONGEST_RETURN_MILLIS = 15_000;

    private BacklogAdmission() {}

    /**
     * The work that has to be done before and what does it. Immutable.
     *
     * @param aheadCoreSeconds work that waits and comes first
     * @param cores processors that work on it, in cores
     */
    public record Backlog(double aheadCoreSeconds, double cores) {

        private double waitMillis() {
            return aheadCoreSeconds <= 0 ? 0 : 1_000 * aheadCoreSeconds / Math.max(0.1, cores);
        }
    }

    /**
     * Decides on new work.
     *
     * @param backlog what comes before it
     * @param chainMillis its longest chain of steps
     * @param lateMillis time from now after which its end is worth nothing
     * @return empty to accept it; else after how many milliseconds another try can succeed
     */
    public static OptionalLong refuse(Backlog backlog, long chainMillis, long lateMillis) {
        double excess = backlog.waitMillis() + chainMillis - lateMillis;
        if (excess <= 0 || backlog.aheadCoreSeconds() <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                Math.max(LEAST_RETURN_MILLIS, Math.min(LONGEST_RETURN_MILLIS, Math.round(excess))));
    }
}
