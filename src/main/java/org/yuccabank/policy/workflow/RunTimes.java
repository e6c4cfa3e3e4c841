package org.yuccabank.policy.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Run times seen so far: of each step, to compare a run with its mates, and of each queue against
 * the declared estimates. Answers the load in which estimates are far off. Not thread-safe.
 */
public final class RunTimes {

    /** Newest run times of a step that are kept. */
    private static final int MAX_SAMPLES = 9;

    /** Mates needed for a comparison; with fewer a median follows a single one. */
    private static final int MIN_SAMPLES = 3;

    /** Steps that are remembered; those of ended workflows fall out. */
    private static final int MAX_STEPS = 2_000;

    /** Weight of the newest run in the ratio of its queue. */
    private static final double SMOOTHING_FACTOR = 0.05;

    private static final double MIN_RATIO = 0.25;
    private static final double MAX_RATIO = 4.0;

    private final Map<String, Deque<Double>> steps =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Deque<Double>> eldest) {
                    return size() > MAX_STEPS;
                }
            };

    private final Map<String, Double> ratioByQueue = new HashMap<>();

    /**
     * Takes the run time of a task that was done.
     *
     * @param stepKey step of the task
     * @param queueName queue of its workflow
     * @param fullRunMillis time of a whole run
     * @param estimatedMillis declared time
     */
    public void done(String stepKey, String queueName, double fullRunMillis, long estimatedMillis) {
        Deque<Double> times = steps.computeIfAbsent(stepKey, key -> new ArrayDeque<>());
        times.addLast(fullRunMillis);
        if (times.size() > MAX_SAMPLES) {
            times.removeFirst();
        }
        double ratio =
                Math.max(
                        MIN_RATIO,
                        Math.min(MAX_RATIO, fullRunMillis / Math.max(1, estimatedMillis)));
        ratioByQueue.merge(
                queueName,
                ratio,
                (before, newest) -> before + SMOOTHING_FACTOR * (newest - before));
    }

    /**
     * Usual time of a whole run of a step.
     *
     * @param stepKey the step
     * @return median of the mates that were done, empty if they are too few
     */
    public OptionalDouble medianMillis(String stepKey) {
        Deque<Double> times = steps.get(stepKey);
        if (times == null || times.size() < MIN_SAMPLES) {
            return OptionalDouble.empty();
        }
        double[] sorted = times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return OptionalDouble.of(sorted[sorted.length / 2]);
    }

    /**
     * How run times of a queue compare with their estimates.
     *
     * @param queueName the queue
     * @return the mean ratio, 1 before any run was done
     */
    public double estimateRatio(String queueName) {
        return ratioByQueue.getOrDefault(queueName, 1.0);
    }
}
