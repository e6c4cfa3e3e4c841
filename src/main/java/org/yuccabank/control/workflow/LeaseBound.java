package org.yuccabank.control.workflow;

import org.yuccabank.protocol.generated.WorkerReport;

/**
 * Bounds the time for which a worker may still run tasks, by the leader's clock. Immutable.
 *
 * @param maximumLeaseMillis longest lease that follows from an answer to a report, by the worker's
 *     clock
 * @param clockDriftFraction greatest difference of two clock rates, 0.1 for 10 %
 */
public record LeaseBound(long maximumLeaseMillis, double clockDriftFraction) {

    /** Added for the time that a directive needs and the resolution of timers. */
    private static final long MARGIN_MILLIS = 150;

    /** Longest time after any report, in milliseconds. */
    long maximumMillis() {
        return toLeaderMillis(maximumLeaseMillis);
    }

    /** Longest time after a report, which may tell that less is left, in milliseconds. */
    long millisAfter(WorkerReport report) {
        return report.hasLeaseLeftMillis()
                ? Math.min(maximumMillis(), toLeaderMillis(report.getLeaseLeftMillis()))
                : maximumMillis();
    }

    private long toLeaderMillis(long workerMillis) {
        return Math.round(workerMillis * (1 + clockDriftFraction)) + MARGIN_MILLIS;
    }
}
