package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Tail latency of each serving image without load, as the least that was seen. It rises slowly, so
 * that one low figure does not stand for ever. Not thread-safe.
 */
final class IdleLatency {

    /** Part by which the least figure rises with each new one: a tenth in about a minute. */
    private static final double RISE_PER_SAMPLE = 0.0005;

    /** Greatest part of the target, for a task that was under pressure from the first figure on. */
    private static final double MAX_TARGET_SHARE = 0.4;

    /** Figures are whole milliseconds. */
    private static final double MIN_MILLIS = 1;

    private final Map<String, Double> minimumByImage = new HashMap<>();

    /**
     * Takes a figure.
     *
     * @param image image of the serving task
     * @param latencyMillis its tail latency
     * @param targetMillis its target, which leaves a task without load room by its purpose
     * @return the tail latency of the image without load
     */
    double observe(String image, double latencyMillis, double targetMillis) {
        double sample =
                Math.max(MIN_MILLIS, Math.min(latencyMillis, MAX_TARGET_SHARE * targetMillis));
        return minimumByImage.merge(
                image, sample, (before, now) -> Math.min(now, before * (1 + RISE_PER_SAMPLE)));
    }
}
