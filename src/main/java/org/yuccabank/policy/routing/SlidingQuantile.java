package org.yuccabank.policy.routing;

import org.HdrHistogram.Histogram;

/**
 * Quantile of recent durations. Two histograms are rotated, so that the quantile covers between one
 * and two periods. Mutable; not thread-safe.
 */
final class SlidingQuantile {

    private static final long PERIOD_MILLIS = 10_000;

    /**
     * Samples between updates of the quantile, because each update iterates over the histograms.
     */
    private static final int REFRESH_SAMPLES = 64;

    private static final long MAXIMUM_MICROS = 3_600_000_000L;

    private static final int SIGNIFICANT_DIGITS = 2;

    private final double percentile;
    private Histogram current = newHistogram();
    private Histogram previous = newHistogram();
    private long periodEndMillis = Long.MIN_VALUE;
    private int samplesSinceRefresh;
    private long quantileMicros;

    SlidingQuantile(double percentile) {
        this.percentile = percentile;
    }

    private static Histogram newHistogram() {
        return new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    }

    void add(long micros, long nowMillis) {
        if (nowMillis >= periodEndMillis) {
            rotate(nowMillis);
        }
        current.recordValue(Math.min(Math.max(0, micros), MAXIMUM_MICROS));
        samplesSinceRefresh++;
        if (samplesSinceRefresh >= REFRESH_SAMPLES || quantileMicros == 0) {
            refresh();
        }
    }

    private void rotate(long nowMillis) {
        Histogram oldest = previous;
        previous = current;
        current = oldest;
        current.reset();
        periodEndMillis = nowMillis + PERIOD_MILLIS;
    }

    private void refresh() {
        samplesSinceRefresh = 0;
        quantileMicros =
                Math.max(
                        current.getValueAtPercentile(percentile),
                        previous.getValueAtPercentile(percentile));
    }

    /** Returns the quantile in microseconds, 0 before the first sample. */
    long quantileMicros() {
        return quantileMicros;
    }
}
