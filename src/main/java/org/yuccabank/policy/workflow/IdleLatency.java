package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the tail latency of each serving image without load as a running minimum. The minimum
 * rises slowly, so that the effect of a single low sample fades with time. Not thread-safe.
 */
final class IdleLatency {

    /** Relative rise of the minimum per sample, about 10 % per minute. */
    private static final double RISE_PER_SAMPLE = 0.0005;

    /** Upper bound as a share of the target, for a task under pressure since its first sample. */
    private static final double MAXIMUM_TARGET_SHARE = 0.4;

    /** Samples are whole milliseconds, so a sample of 0 stands for less than this. */
    private static final double MINIMUM_MILLIS = 1;

    private final Map<String, Double> minimumByImage = new HashMap<>();

    /**
     * Adds a sample and returns the updated estimate.
     *
     * @param image image of the serving task
     * @param latencyMillis its measured tail latency
     * @param targetMillis its latency target, which is above the latency without load
     * @return the estimated tail latency of the image without load
     */
    double observe(String image, double latencyMillis, double targetMillis) {
        double sample =
                Math.max(
                        MINIMUM_MILLIS,
                        Math.min(latencyMillis, MAXIMUM_TARGET_SHARE * targetMillis));
        return minimumByImage.merge(
                image, sample, (before, now) -> Math.min(now, before * (1 + RISE_PER_SAMPLE)));
    }
}
