package org.yuccabank.policy.workflow;

import java.util.OptionalLong;

/**
 * Refuses workflows that are expected to finish after their hard deadline. Prevents an overload in
 * which a growing backlog makes every workflow miss its deadline. Stateless.
 */
public final class BacklogAdmission {

    /** The backlog barely changes in a shorter time. */
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 1_000;

    /** The backlog can change within this time, so a longer delay would be outdated. */
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 15_000;

    private BacklogAdmission() {}

    /**
     * The work queued ahead of a new workflow and the processors available for it. Immutable.
     *
     * @param queuedCoreSeconds work that runs before the new workflow
     * @param cores processors that run this work, in cores
     */
    public record Backlog(double queuedCoreSeconds, double cores) {

        private double queueDelayMillis() {
            return queuedCoreSeconds <= 0 ? 0 : 1_000 * queuedCoreSeconds / Math.max(0.1, cores);
        }
    }

    /**
     * Returns whether a workflow is accepted or after which delay it can be submitted again.
     *
     * @param backlog the work queued ahead of it
     * @param criticalPathMillis estimated duration of its longest chain of steps
     * @param millisToHardDeadline time from now until the workflow has no value any more
     * @return empty if the workflow is accepted, otherwise the delay in milliseconds
     */
    public static OptionalLong retryAfterMillis(
            Backlog backlog, long criticalPathMillis, long millisToHardDeadline) {
        double excessMillis =
                backlog.queueDelayMillis() + criticalPathMillis - millisToHardDeadline;
        if (excessMillis <= 0 || backlog.queuedCoreSeconds() <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                Math.max(
                        MINIMUM_RETRY_AFTER_MILLIS,
                        Math.min(MAXIMUM_RETRY_AFTER_MILLIS, Math.round(excessMillis))));
    }
}
