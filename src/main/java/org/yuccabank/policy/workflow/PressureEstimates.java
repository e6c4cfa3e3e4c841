package org.yuccabank.policy.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns how much each filling image presses on each serving one, from the tail latencies beside
 * it. Answers the load in which a few pairs of images, known by nothing but their effect, do most
 * of the harm.
 *
 * <p>The pressure of a pair is the part of the headroom that one filling task takes at full speed;
 * the parts add up. Estimates follow by normalised least mean squares. Not thread-safe.
 */
public final class PressureEstimates implements Pressures {

    /** Part of an error that one observation corrects. */
    private static final double LEARNING_RATE = 0.15;

    /** The same for the own load of serving tasks, which all observations of an image share. */
    private static final double OWN_LOAD_LEARNING_RATE = 0.02;

    /** Part of the headroom that serving tasks take by their own load, before any observation. */
    private static final double INITIAL_OWN_LOAD = 0.25;

    /** Tail latencies are capped by the worker, which hides how much more is taken. */
    private static final double SATURATED_SHARE = 0.9;

    /**
     * Added to the pressure of a pair until it is known better, so that a first task joins serving
     * ones alone.
     */
    private static final double UNCERTAINTY_MARGIN = 0.1;

    /**
     * Observations, each counted with the filling tasks in it, after which half the doubt is left.
     */
    private static final double HALF_MARGIN_OBSERVATIONS = 4;

    private final Map<ImagePair, Double> pressures = new HashMap<>();
    private final Map<ImagePair, Double> observationCounts = new HashMap<>();
    private final Map<String, Double> ownLoads = new HashMap<>();
    private final IdleLatency idleLatency = new IdleLatency();

    /**
     * A serving image and a filling one. Immutable.
     *
     * @param serving the image that is pressed on
     * @param filling the image that presses
     */
    public record ImagePair(String serving, String filling) {}

    /**
     * A serving task as its worker reported it. Immutable.
     *
     * @param image its image
     * @param latencyMillis its tail latency
     * @param targetMillis its target
     */
    public record ServingSample(String image, long latencyMillis, long targetMillis) {}

    /**
     * What one report tells about the serving tasks of an image. Immutable.
     *
     * @param ownLoad part of the headroom that they take themselves
     * @param usable part that may be taken in all
     */
    public record HeadroomObservation(double ownLoad, double usable) {}

    /**
     * Takes what one worker reported.
     *
     * @param samples the serving tasks
     * @param filling number of filling tasks of each image in the time of the figures, each counted
     *     with the share of its speed
     * @return what the report tells about the serving tasks of each image
     */
    public Map<String, HeadroomObservation> observe(
            List<ServingSample> samples, Map<String, Double> filling) {
        Map<String, List<ServingSample>> byImage = new LinkedHashMap<>();
        samples.forEach(
                each ->
                        byImage.computeIfAbsent(each.image(), image -> new ArrayList<>())
                                .add(each));
        Map<String, HeadroomObservation> observations = new HashMap<>();
        byImage.forEach((image, tasks) -> observations.put(image, observe(image, tasks, filling)));
        return observations;
    }

    private HeadroomObservation observe(
            String image, List<ServingSample> tasks, Map<String, Double> filling) {
        double used = 0;
        double usable = 1;
        for (ServingSample each : tasks) {
            double idleMillis =
                    idleLatency.observe(image, each.latencyMillis(), each.targetMillis());
            used += Headroom.used(idleMillis, each.latencyMillis()) / tasks.size();
            usable = Math.min(usable, Headroom.usable(idleMillis, each.targetMillis()));
        }
        double pressure = 0;
        double square = 1;
        for (Map.Entry<String, Double> each : filling.entrySet()) {
            pressure += each.getValue() * estimate(new ImagePair(image, each.getKey()));
            square += each.getValue() * each.getValue();
        }
        double ownLoad = ownLoads.getOrDefault(image, INITIAL_OWN_LOAD);
        double error = used - pressure - ownLoad;
        if (used < SATURATED_SHARE || error > 0) {
            ownLoads.put(image, Math.max(0, ownLoad + OWN_LOAD_LEARNING_RATE * error / square));
            double step = LEARNING_RATE * error / square;
            filling.forEach(
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

    /** The estimate and the doubt that is left: what is not known is taken for worse than it is. */
    @Override
    public double of(String servingImage, String bestEffortImage) {
        ImagePair pair = new ImagePair(servingImage, bestEffortImage);
        double observations = observationCounts.getOrDefault(pair, 0.0);
        return estimate(pair)
                + UNCERTAINTY_MARGIN
                        * HALF_MARGIN_OBSERVATIONS
                        / (HALF_MARGIN_OBSERVATIONS + observations);
    }

    /**
     * Takes an estimate of a former leader for a pair that was not observed yet.
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
