package org.yuccabank.policy.workflow;

import java.util.OptionalLong;

/**
 * Refuses work whose end is expected only after it is worth nothing. Answers the overload in which
 * a growing backlog is worked off too late for everybody. Has no state.
 */
public final class BacklogAdmission {

    /** Callers that come back sooner than this find the same backlog. */
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    /** Backlogs change within this time, so that a longer absence is not asked for. */
    private static final long MAX_RETRY_AFTER_MILLIS = 15_000;

    private BacklogAdmission() {}

    /**
     * The work that has to be done before and what does it. Immutable.
     *
     * @param queuedCoreSeconds work that waits and comes first
     * @param cores processors that work on it, in cores
     */
    public record Backlog(double queuedCoreSeconds, double cores) {

        private double queueDelayMillis() {
            return queuedCoreSeconds <= 0 ? 0 : 1_000 * queuedCoreSeconds / Math.max(0.1, cores);
        }
    }

    /**
     * Decides on new work.
     *
     * @param backlog what comes before it
     * @param criticalPathMillis its longest chain of steps
     * @param millisToHardDeadline time from now after which its end is worth nothing
     * @return empty to accept it; else after how many milliseconds another try can succeed
     */
    public static OptionalLong refuse(
            Backlog backlog, long criticalPathMillis, long millisToHardDeadline) {
        double excessMillis =
                backlog.queueDelayMillis() + criticalPathMillis - millisToHardDeadline;
        if (excessMillis <= 0 || backlog.queuedCoreSeconds() <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                Math.max(
                        MIN_RETRY_AFTER_MILLIS,
                        Math.min(MAX_RETRY_AFTER_MILLIS, Math.round(excessMillis))));
    }
}
