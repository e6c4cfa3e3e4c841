package org.yuccabank.bench;

import org.HdrHistogram.Histogram;

/** What truly happened in a run, counted by the fakes. Not thread-safe. */
final class RunTotals {

    /** Latency and start delays count after the first placements have settled. */
    static final long WARM_UP_MILLIS = 20_000;

    private static final long GREATEST_MILLIS = 600_000;
    private static final int DIGITS = 3;

    final Histogram latencyMicros = new Histogram(GREATEST_MILLIS * 1000, DIGITS);
    final Histogram startDelayMillis = new Histogram(GREATEST_MILLIS, DIGITS);
    long late;
    long evictions;
    long capacityBreaches;
    long doubleRuns;
    double lostWorkMillis;
    double usedCores;
    double offeredCores;
    double quotaErrors;
    long quotaSamples;

    void served(double latencyMillis, double deadlineMillis, double nowMillis) {
        if (nowMillis < WARM_UP_MILLIS) {
            return;
        }
        latencyMicros.recordValue((long) Math.min(GREATEST_MILLIS * 1000, latencyMillis * 1000));
        if (latencyMillis > deadlineMillis) {
            late++;
        }
    }

    /** Counts the first start of an urgent task. */
    void started(BenchTask task, long startedMillis) {
        if (task.urgent() && !task.started && task.submittedMillis >= WARM_UP_MILLIS) {
            startDelayMillis.recordValue(
                    Math.min(GREATEST_MILLIS, startedMillis - task.submittedMillis));
        }
        task.started = true;
    }

    /** Counts an urgent task that waits when the run ends with the delay it has by then. */
    void neverStarted(BenchTask task, long endMillis) {
        if (task.submittedMillis >= WARM_UP_MILLIS) {
            startDelayMillis.recordValue(endMillis - task.submittedMillis);
        }
    }
}
