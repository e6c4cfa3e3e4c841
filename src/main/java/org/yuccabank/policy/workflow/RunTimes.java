package org.yuccabank.policy.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Learns how long runs take. Runs of a step that has completed some are expected to take its
 * median; for other steps the declared estimate is corrected by what the queue has shown. Not
 * thread-safe.
 */
public final class RunTimes {

    /** Most recent run times kept per step. */
    private static final int MAXIMUM_SAMPLES = 9;

    /** Samples required for a median; with fewer, a single run would determine it. */
    private static final int MINIMUM_SAMPLES = 3;

    /** Maximum number of steps kept; the oldest, mostly of ended workflows, are evicted. */
    private static final int MAXIMUM_STEPS = 2_000;

    private final Map<String, StepTimes> steps = new BoundedMap<>(MAXIMUM_STEPS);

    private final Map<String, EstimateCorrection> correctionByQueue = new HashMap<>();

    /**
     * The latest run times of a step. Their median is computed when a run is added, as each plan
     * reads it several times.
     */
    private static final class StepTimes {

        private final Deque<Double> samples = new ArrayDeque<>();
        private OptionalDouble medianMillis = OptionalDouble.empty();

        private void add(double millis) {
            samples.addLast(millis);
            if (samples.size() > MAXIMUM_SAMPLES) {
                samples.removeFirst();
            }
            if (samples.size() >= MINIMUM_SAMPLES) {
                double[] sorted =
                        samples.stream().mapToDouble(Double::doubleValue).sorted().toArray();
                medianMillis = OptionalDouble.of(sorted[sorted.length / 2]);
            }
        }
    }

    /**
     * Records the run time of a completed task.
     *
     * @param stepKey step of the task
     * @param queueName queue of its workflow
     * @param fullRunMillis duration of a full run
     * @param estimatedMillis declared estimate of this duration
     * @param taskCount number of tasks of the step, which share one declared estimate
     */
    public void recordRunTime(
            String stepKey,
            String queueName,
            double fullRunMillis,
            long estimatedMillis,
            int taskCount) {
        steps.computeIfAbsent(stepKey, key -> new StepTimes()).add(fullRunMillis);
        correctionByQueue
                .computeIfAbsent(queueName, absent -> new EstimateCorrection())
                .record(estimatedMillis, fullRunMillis, 1.0 / Math.max(1, taskCount));
    }

    /**
     * Returns the median duration of a full run of a step.
     *
     * @param stepKey the step
     * @return the median in milliseconds, empty if too few runs have completed
     */
    public OptionalDouble medianMillis(String stepKey) {
        StepTimes times = steps.get(stepKey);
        return times == null ? OptionalDouble.empty() : times.medianMillis;
    }

    /**
     * Returns the expected duration of a full run.
     *
     * @param queueName queue of the workflow
     * @param stepKey step of the run
     * @param estimatedMillis declared estimate of the duration
     * @return the duration in milliseconds
     */
    public double expectedMillis(String queueName, String stepKey, long estimatedMillis) {
        OptionalDouble median = medianMillis(stepKey);
        if (median.isPresent()) {
            return median.getAsDouble();
        }
        EstimateCorrection correction = correctionByQueue.get(queueName);
        return correction == null ? estimatedMillis : correction.correct(estimatedMillis);
    }

    /**
     * Returns what was learned about the estimates of each queue.
     *
     * @return the sums by name of the queue
     */
    public Map<String, EstimateCorrection.Sums> corrections() {
        Map<String, EstimateCorrection.Sums> corrections = new HashMap<>();
        correctionByQueue.forEach((queue, correction) -> corrections.put(queue, correction.sums()));
        return corrections;
    }

    /**
     * Replaces what was learned about the estimates of a queue.
     *
     * @param queueName the queue
     * @param sums the sums to continue from
     */
    public void restoreCorrection(String queueName, EstimateCorrection.Sums sums) {
        correctionByQueue.put(queueName, EstimateCorrection.of(sums));
    }
}
