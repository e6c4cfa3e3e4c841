package org.yuccabank.policy.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Records the run times of each step, and per queue the ratio of run times to declared estimates.
 * Runs are compared with the median of their step, and the ratio corrects estimates that are far
 * off. Not thread-safe.
 */
public final class RunTimes {

    /** Most recent run times kept per step. */
    private static final int MAXIMUM_SAMPLES = 9;

    /** Samples required for a median; with fewer, a single run would determine it. */
    private static final int MINIMUM_SAMPLES = 3;

    /** Maximum number of steps kept; the oldest, mostly of ended workflows, are evicted. */
    private static final int MAXIMUM_STEPS = 2_000;

    /** Weight of the newest run in the moving average of its queue. */
    private static final double SMOOTHING_FACTOR = 0.05;

    private static final double MINIMUM_RATIO = 0.25;
    private static final double MAXIMUM_RATIO = 4.0;

    private final Map<String, Deque<Double>> steps =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Deque<Double>> eldest) {
                    return size() > MAXIMUM_STEPS;
                }
            };

    private final Map<String, Double> ratioByQueue = new HashMap<>();

    /**
     * Records the run time of a completed task.
     *
     * @param stepKey step of the task
     * @param queueName queue of its workflow
     * @param fullRunMillis duration of a full run
     * @param estimatedMillis declared estimate of this duration
     */
    public void recordRunTime(
            String stepKey, String queueName, double fullRunMillis, long estimatedMillis) {
        Deque<Double> times = steps.computeIfAbsent(stepKey, key -> new ArrayDeque<>());
        times.addLast(fullRunMillis);
        if (times.size() > MAXIMUM_SAMPLES) {
            times.removeFirst();
        }
        double ratio =
                Math.max(
                        MINIMUM_RATIO,
                        Math.min(MAXIMUM_RATIO, fullRunMillis / Math.max(1, estimatedMillis)));
        ratioByQueue.merge(
                queueName,
                ratio,
                (before, newest) -> before + SMOOTHING_FACTOR * (newest - before));
    }

    /**
     * Returns the median duration of a full run of a step.
     *
     * @param stepKey the step
     * @return the median in milliseconds, empty if too few runs have completed
     */
    public OptionalDouble medianMillis(String stepKey) {
        Deque<Double> times = steps.get(stepKey);
        if (times == null || times.size() < MINIMUM_SAMPLES) {
            return OptionalDouble.empty();
        }
        double[] sorted = times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return OptionalDouble.of(sorted[sorted.length / 2]);
    }

    /**
     * Returns the ratio of measured run times to their estimates for a queue.
     *
     * @param queueName the queue
     * @return the moving average of the ratio, 1 before the first completed run
     */
    public double estimateRatio(String queueName) {
        return ratioByQueue.getOrDefault(queueName, 1.0);
    }
}
