package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Learns how much each filling image presses on serving tasks, from the tail latencies beside it.
 * Answers the load in which a few images, known by nothing but their effect, do most of the harm.
 *
 * <p>The pressure of an image is the part of the headroom that one of its tasks takes at full
 * speed; the parts add up. Estimates follow by normalised least mean squares. Not thread-safe.
 */
public final class PressureEstimates {

    /** Pressure of an image that was not seen yet: two of its tasks may join a serving one. */
    public static final double UNKNOWN_PRESSURE = 0.2;

    /** Part of an error that one observation corrects. */
    private static final double CORRECTED_SHARE = 0.1;

    /** The same for the load of the serving tasks themselves, which all observations share. */
    private static final double OWN_CORRECTED_SHARE = 0.02;

    /** Part of the headroom that serving tasks take by their own load, before any observation. */
    private static final double FIRST_OWN_LOAD = 0.2;

    /** Tail latencies are capped by the worker, which hides how much more is taken. */
    private static final double SATURATED = 0.9;

    private final Map<String, Double> pressures = new HashMap<>();
    private final IdleLatency idle = new IdleLatency();
    private double ownLoad = FIRST_OWN_LOAD;

    /**
     * A serving task as its worker reported it. Immutable.
     *
     * @param image its image
     * @param latencyMillis its tail latency
     * @param targetMillis its target
     */
    public record Serving(String image, long latencyMillis, long targetMillis) {}

    /**
     * What one report tells about the serving tasks of its worker. Immutable.
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
     * @return what the report tells about the serving tasks, empty if there are none
     */
    public Optional<Observation> observe(List<Serving> serving, Map<String, Double> filling) {
        if (serving.isEmpty()) {
            return Optional.empty();
        }
        double taken = 0;
        double bearable = 1;
        for (Serving each : serving) {
            double idleMillis =
                    idle.observe(each.image(), each.latencyMillis(), each.targetMillis());
            taken += Headroom.taken(idleMillis, each.latencyMillis()) / serving.size();
            bearable = Math.min(bearable, Headroom.bearable(idleMillis, each.targetMillis()));
        }
        double pressure = 0;
        double square = 1;
        for (Map.Entry<String, Double> each : filling.entrySet()) {
            pressure += each.getValue() * pressure(each.getKey());
            square += each.getValue() * each.getValue();
        }
        double error = taken - pressure - ownLoad;
        if (taken < SATURATED || error > 0) {
            ownLoad = Math.max(0, ownLoad + OWN_CORRECTED_SHARE * error / square);
            double step = CORRECTED_SHARE * error / square;
            filling.forEach((image, count) -> correct(image, step * count));
        }
        return Optional.of(new Observation(Math.max(0, taken - pressure), bearable));
    }

    private void correct(String image, double change) {
        pressures.put(image, Math.max(0, Math.min(1, pressure(image) + change)));
    }

    /**
     * The pressure of one task of an image at full speed.
     *
     * @param image the image
     * @return the part of the headroom that it takes, 0 to 1
     */
    public double pressure(String image) {
        return pressures.getOrDefault(image, UNKNOWN_PRESSURE);
    }

    /**
     * Takes an estimate of a former leader for an image that was not observed yet.
     *
     * @param image the image
     * @param pressure the estimate
     */
    public void learn(String image, double pressure) {
        pressures.putIfAbsent(image, pressure);
    }
}
