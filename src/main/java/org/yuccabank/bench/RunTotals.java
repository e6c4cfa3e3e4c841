package org.yuccabank.bench;

import org.HdrHistogram.Histogram;

/** Actual events of a run, counted by the simulated components. Not thread-safe. */
final class RunTotals {

    /**
     * Latency and start delays are measured from this time, when the first placements have settled.
     */
    static final long WARM_UP_MILLIS = 20_000;

    private static final long MAXIMUM_RECORDED_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    final Histogram latencyMicros =
            new Histogram(MAXIMUM_RECORDED_MILLIS * 1000, SIGNIFICANT_DIGITS);
    final Histogram startDelayMillis = new Histogram(MAXIMUM_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
    long lateRequests;
    long evictions;
    long capacityBreaches;
    long doubleRuns;
    double lostWorkMillis;
    double usedCoresSum;
    double capacityCoresSum;
    double quotaErrorSum;
    long quotaSamples;

    void recordRequest(double latencyMillis, double deadlineMillis, double nowMillis) {
        if (nowMillis < WARM_UP_MILLIS) {
            return;
        }
        latencyMicros.recordValue(
                (long) Math.min(MAXIMUM_RECORDED_MILLIS * 1000, latencyMillis * 1000));
        if (latencyMillis > deadlineMillis) {
            lateRequests++;
        }
    }

    /** Records a start. The start delay is that of the first start of an urgent task. */
    void recordStart(BenchTask task, long startedMillis) {
        if (task.urgent() && !task.started && task.submittedMillis >= WARM_UP_MILLIS) {
            startDelayMillis.recordValue(
                    Math.min(MAXIMUM_RECORDED_MILLIS, startedMillis - task.submittedMillis));
        }
        task.started = true;
    }

    /** Records the delay so far of an urgent task that is still pending at the end of the run. */
    void recordUnstarted(BenchTask task, long endMillis) {
        if (task.submittedMillis >= WARM_UP_MILLIS) {
            startDelayMillis.recordValue(endMillis - task.submittedMillis);
        }
    }
}
