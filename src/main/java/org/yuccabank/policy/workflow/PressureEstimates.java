package org.yuccabank.policy.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns the pressure of each best-effort image on each serving image from reported tail latencies.
 * Most interference comes from a few image pairs, which can be recognised only by their effect.
 *
 * <p>The pressure of a pair is the share of the serving task's headroom that one best-effort task
 * uses at full speed; the shares add up. Estimates are updated by normalised least mean squares.
 * Not thread-safe.
 */
public final class PressureEstimates implements Pressures {

    /** Share of the prediction error that one observation corrects in the pressures. */
    private static final double LEARNING_RATE = 0.15;

    /**
     * Learning rate of the serving tasks' own load, which is shared by all observations of an
     * image.
     */
    private static final double OWN_LOAD_LEARNING_RATE = 0.02;

    /** Share of the headroom assumed for the own load of serving tasks before any observation. */
    private static final double INITIAL_OWN_LOAD = 0.25;

    /**
     * Share of the headroom in use from which an observation can only raise the estimates. Workers
     * cap the tail latencies that they report, which hides any use beyond.
     */
    private static final double SATURATED_SHARE = 0.9;

    /**
     * Added to the pressure of a pair without observations, so that an unknown image is first tried
     * with a single task.
     */
    private static final double UNCERTAINTY_MARGIN = 0.1;

    /**
     * Observations, weighted by the number of best-effort tasks, after which half the margin
     * remains.
     */
    private static final double HALF_MARGIN_OBSERVATIONS = 4;

    private final Map<ImagePair, Double> pressures = new HashMap<>();
    private final Map<ImagePair, Double> observationCounts = new HashMap<>();
    private final Map<String, Double> ownLoads = new HashMap<>();
    private final IdleLatency idleLatency = new IdleLatency();

    /**
     * A serving image and a best-effort image. Immutable.
     *
     * @param serving image of the serving tasks
     * @param bestEffort image of the best-effort tasks that interfere with them
     */
    public record ImagePair(String serving, String bestEffort) {}

    /**
     * A latency sample of a serving task, as reported by its worker. Immutable.
     *
     * @param image its image
     * @param latencyMillis its tail latency
     * @param targetMillis its latency target
     */
    public record ServingSample(String image, long latencyMillis, long targetMillis) {}

    /**
     * The headroom of the serving tasks of an image, derived from one report. Immutable.
     *
     * @param ownLoad share of the headroom that they use themselves
     * @param usable total share that may be used
     */
    public record HeadroomObservation(double ownLoad, double usable) {}

    /**
     * Updates the estimates from the report of one worker.
     *
     * @param samples latency samples of its serving tasks
     * @param bestEffortCounts number of best-effort tasks of each image while the samples were
     *     taken, each task weighted by its share of full speed
     * @return the headroom of each serving image in the report
     */
    public Map<String, HeadroomObservation> observe(
            List<ServingSample> samples, Map<String, Double> bestEffortCounts) {
        Map<String, List<ServingSample>> byImage = new LinkedHashMap<>();
        samples.forEach(
                each ->
                        byImage.computeIfAbsent(each.image(), image -> new ArrayList<>())
                                .add(each));
        Map<String, HeadroomObservation> observations = new HashMap<>();
        byImage.forEach(
                (image, imageSamples) ->
                        observations.put(image, observe(image, imageSamples, bestEffortCounts)));
        return observations;
    }

    private HeadroomObservation observe(
            String image, List<ServingSample> imageSamples, Map<String, Double> bestEffortCounts) {
        double used = 0;
        double usable = 1;
        for (ServingSample each : imageSamples) {
            double idleMillis =
                    idleLatency.observe(image, each.latencyMillis(), each.targetMillis());
            used += Headroom.used(idleMillis, each.latencyMillis()) / imageSamples.size();
            usable = Math.min(usable, Headroom.usable(idleMillis, each.targetMillis()));
        }
        double pressure = 0;
        double normalisation = 1;
        for (Map.Entry<String, Double> each : bestEffortCounts.entrySet()) {
            pressure += each.getValue() * estimate(new ImagePair(image, each.getKey()));
            normalisation += each.getValue() * each.getValue();
        }
        double ownLoad = ownLoads.getOrDefault(image, INITIAL_OWN_LOAD);
        double error = used - pressure - ownLoad;
        if (used < SATURATED_SHARE || error > 0) {
            ownLoads.put(
                    image, Math.max(0, ownLoad + OWN_LOAD_LEARNING_RATE * error / normalisation));
            double step = LEARNING_RATE * error / normalisation;
            bestEffortCounts.forEach(
                    (bestEffortImage, count) -> {
                        correct(new ImagePair(image, bestEffortImage), step * count);
                        observationCounts.merge(
                                new ImagePair(image, bestEffortImage), count, Double::sum);
                    });
        }
        return new HeadroomObservation(Math.max(0, used - pressure), usable);
    }

    private void correct(ImagePair pair, double change) {
        double corrected = estimate(pair) + change;
        pressures.put(pair, Math.max(0, Math.min(1, corrected)));
    }

    private double estimate(ImagePair pair) {
        return pressures.getOrDefault(pair, UNKNOWN);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The result includes an uncertainty margin that shrinks with the number of observations.
     */
    @Override
    public double pressure(String servingImage, String bestEffortImage) {
        ImagePair pair = new ImagePair(servingImage, bestEffortImage);
        double observations = observationCounts.getOrDefault(pair, 0.0);
        return estimate(pair)
                + UNCERTAINTY_MARGIN
                        * HALF_MARGIN_OBSERVATIONS
                        / (HALF_MARGIN_OBSERVATIONS + observations);
    }

    /**
     * Adds the estimate of a former leader for a pair that has no estimate yet.
     *
     * @param pair the images
     * @param pressure the estimate
     */
    public void addPrior(ImagePair pair, double pressure) {
        if (pressures.putIfAbsent(pair, pressure) == null) {
            observationCounts.put(pair, HALF_MARGIN_OBSERVATIONS);
        }
    }
}
