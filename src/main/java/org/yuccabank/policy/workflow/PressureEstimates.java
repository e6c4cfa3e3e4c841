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
    private static final double CORRECTED_SHARE = 0.15;

    /** The same for the own load of serving tasks, which all observations of an image share. */
    private static final double OWN_CORRECTED_SHARE = 0.02;

    /** Part of the headroom that serving tasks take by their own load, before any observation. */
    private static final double FIRST_OWN_LOAD = 0.25;

    /** Tail latencies are capped by the worker, which hides how much more is taken. */
    private static final double SATURATED = 0.9;

    /**
     * Added to the pressure of a pair until it is known better, so that a first task joins serving
     * ones alone.
     */
    private static final double DOUBT = 0.1;

    /**
     * Observations, each counted with the filling tasks in it, after which half the doubt is left.
     */
    private static final double HALF_KNOWN = 4;

    private final Map<Pair, Double> pressures = new HashMap<>();
    private final Map<Pair, Double> observed = new HashMap<>();
    private final Map<String, Double> ownLoads = new HashMap<>();
    private final IdleLatency idle = new IdleLatency();

    /**
     * A serving image and a filling one. Immutable.
     *
     * @param serving the image that is pressed on
     * @param filling the image that presses
     */
    public record Pair(String serving, String filling) {}

    /**
     * A serving task as its worker reported it. Immutable.
     *
     * @param image its image
     * @param latencyMillis its tail latency
     * @param targetMillis its target
     */
    public record Serving(String image, long latencyMillis, long targetMillis) {}

    /**
     * What one report tells about the serving tasks of an image. Immutable.
     *
     * @param ownLoad part of the headroom that they take themselves
     * @param bearable part that may be taken in all
     */
    public record Observation(double ownLoad, double bearable) {}

    /**
     * Takes what one worker reported.
     *
     * @param serving the serving tasks
     * @param filling number of filling tasks of each image in the time of the figures, each counted
     *     with the share of its speed
     * @return what the report tells about the serving tasks of each image
     */
    public Map<String, Observation> observe(List<Serving> serving, Map<String, Double> filling) {
        Map<String, List<Serving>> byImage = new LinkedHashMap<>();
        serving.forEach(
                each ->
                        byImage.computeIfAbsent(each.image(), image -> new ArrayList<>())
                                .add(each));
        Map<String, Observation> observations = new HashMap<>();
        byImage.forEach((image, tasks) -> observations.put(image, observe(image, tasks, filling)));
        return observations;
    }

    private Observation observe(String image, List<Serving> tasks, Map<String, Double> filling) {
        double taken = 0;
        double bearable = 1;
        for (Serving each : tasks) {
            double idleMillis = idle.observe(image, each.latencyMillis(), each.targetMillis());
            taken += Headroom.taken(idleMillis, each.latencyMillis()) / tasks.size();
            bearable = Math.min(bearable, Headroom.bearable(idleMillis, each.targetMillis()));
        }
        double pressure = 0;
        double square = 1;
        for (Map.Entry<String, Double> each : filling.entrySet()) {
            pressure += each.getValue() * estimate(new Pair(image, each.getKey()));
            square += each.getValue() * each.getValue();
        }
        double ownLoad = ownLoads.getOrDefault(image, FIRST_OWN_LOAD);
        double error = taken - pressure - ownLoad;
        if (taken < SATURATED || error > 0) {
            ownLoads.put(image, Math.max(0, ownLoad + OWN_CORRECTED_SHARE * error / square));
            double step = CORRECTED_SHARE * error / square;
            filling.forEach(
                    (other, count) -> {
                        correct(new Pair(image, other), step * count);
                        observed.merge(new Pair(image, other), count, Double::sum);
                    });
        }
        return new Observation(Math.max(0, taken - pressure), bearable);
    }

    private void correct(Pair pair, double change) {
        double corrected = estimate(pair) + change;
        pressures.put(pair, Math.max(0, Math.min(1, corrected)));
    }

    private double estimate(Pair pair) {
        return pressures.getOrDefault(pair, UNKNOWN);
    }

    /** The estimate and the doubt that is left: what is not known is taken for worse than it is. */
    @Override
    public double of(String servingImage, String fillingImage) {
        Pair pair = new Pair(servingImage, fillingImage);
        double known = observed.getOrDefault(pair, 0.0);
        return estimate(pair) + DOUBT * HALF_KNOWN / (HALF_KNOWN + known);
    }

    /**
     * Takes an estimate of a former leader for a pair that was not observed yet.
     *
     * @param pair the images
     * @param pressure the estimate
     */
    public void learn(Pair pair, double pressure) {
        if (pressures.putIfAbsent(pair, pressure) == null) {
            observed.put(pair, HALF_KNOWN);
        }
    }
}
