package org.yuccabank.control.workflow;

import org.yuccabank.protocol.generated.WorkerReport;

/**
 * Upper bound on the time for which a worker may still run tasks, by the leader's clock. Immutable.
 *
 * @param maximumLeaseMillis longest lease granted by a response to a report, by the worker's clock
 * @param clockDriftFraction maximum relative difference between the rates of two clocks, 0.1 for
 *     10%
 */
public record LeaseBound(long maximumLeaseMillis, double clockDriftFraction) {

    /** Added for the delay of directives and the resolution of timers. */
    private static final long MARGIN_MILLIS = 150;

    /** Returns the maximum time after any report, in milliseconds. */
    long maximumMillis() {
        return toLeaderMillis(maximumLeaseMillis);
    }

    /**
     * Returns the maximum time after a report, which may state a shorter remaining lease, in
     * milliseconds.
     */
    long millisAfter(WorkerReport report) {
        return report.hasLeaseLeftMillis()
                ? Math.min(maximumMillis(), toLeaderMillis(report.getLeaseLeftMillis()))
                : maximumMillis();
    }

    private long toLeaderMillis(long workerMillis) {
        return Math.round(workerMillis * (1 + clockDriftFraction)) + MARGIN_MILLIS;
    }
}
