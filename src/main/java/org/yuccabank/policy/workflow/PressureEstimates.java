package org.yuccabank.policy.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns the pressure of each best-effort image on each serving image from reported tail latencies.
 * Most interference comes from a few image pairs, which can be recognised only by their effect,
 * while the own load of the serving tasks rises and falls within seconds.
 *
 * <p>The pressure of a pair is the share of the serving task's headroom that one best-effort task
 * uses at full speed; the shares add up. The tasks of a serving step share their load, so its own
 * load is tracked across all workers that run the step, and what a report shows beyond it is
 * attributed to the best-effort tasks of that worker. The estimator is a Kalman filter with a
 * diagonal covariance: an unexpected latency changes uncertain estimates more than certain ones.
 * Not thread-safe; times are read from a monotonic clock.
 */
public final class PressureEstimates implements Pressures {

    /** Share of the headroom assumed for the own load of a serving step before any observation. */
    private static final double INITIAL_OWN_LOAD = 0.3;

    /** Variance of the own load of a step that has not been observed for long. */
    private static final double MAXIMUM_OWN_LOAD_VARIANCE = 0.04;

    /** Growth of the variance of an own load; loads change by up to 0.2 a second. */
    private static final double OWN_LOAD_VARIANCE_PER_SECOND = 0.05;

    /**
     * Variance of one observation, as latencies are whole milliseconds and lag by half a second.
     */
    private static final double OBSERVATION_VARIANCE = 0.003;

    /** Variance of the pressure of a pair without observations. */
    private static final double INITIAL_PRESSURE_VARIANCE = 0.0225;

    /** Added to the variance with each observation, so that a pressure can drift. */
    private static final double PRESSURE_VARIANCE_PER_OBSERVATION = 0.0001;

    /** Minimum variance of a pressure that was learned by a former leader. */
    private static final double INHERITED_PRESSURE_VARIANCE = 0.003;

    /**
     * Share of the headroom in use from which an observation can only raise the estimates. Workers
     * cap the tail latencies that they report, which hides any use beyond.
     */
    private static final double SATURATED_SHARE = 0.9;

    /**
     * Standard deviations added to a pressure, so that an image with an unknown effect is first
     * tried with a single task.
     */
    private static final double MARGIN_DEVIATIONS = 0.67;

    /** Weight, in pairs, of the initial assumption in the pressure expected of unknown pairs. */
    private static final double INITIAL_ASSUMPTION_WEIGHT = 4;

    /** Maximum number of own loads kept; the eldest, mostly of ended steps, are evicted. */
    private static final int MAXIMUM_OWN_LOADS = 2_000;

    private final Map<ImagePair, Estimate> pressures = new HashMap<>();
    private final Map<String, OwnLoad> ownLoads = new BoundedMap<>(MAXIMUM_OWN_LOADS);
    private final IdleLatency idleLatency = new IdleLatency();
    private double pressureSum;

    /**
     * A normally distributed estimate. Immutable.
     *
     * @param mean its mean
     * @param variance its variance
     */
    public record Estimate(double mean, double variance) {}

    /** The own load of a serving step when it was last observed. Immutable. */
    private record OwnLoad(Estimate estimate, long observedAtMillis) {

        private Estimate at(long nowMillis) {
            double growth = OWN_LOAD_VARIANCE_PER_SECOND * (nowMillis - observedAtMillis) / 1_000;
            return new Estimate(
                    estimate.mean(),
                    Math.min(MAXIMUM_OWN_LOAD_VARIANCE, estimate.variance() + growth));
        }
    }

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
    public record HeadroomObservation(double ownLoad, double usable) {

        private HeadroomObservation leastHeadroom(HeadroomObservation other) {
            return new HeadroomObservation(
                    Math.max(ownLoad, other.ownLoad), Math.min(usable, other.usable));
        }
    }

    /**
     * Updates the estimates from the report of one worker.
     *
     * @param samplesByStep latency samples of its serving tasks, by a key of their step; the tasks
     *     of a step have the same image and share their load
     * @param bestEffortCounts number of best-effort tasks of each image while the samples were
     *     taken, each task weighted by its share of full speed
     * @param nowMillis current time of a monotonic clock
     * @return the headroom of each serving image in the report
     */
    public Map<String, HeadroomObservation> observe(
            Map<String, List<ServingSample>> samplesByStep,
            Map<String, Double> bestEffortCounts,
            long nowMillis) {
        Map<String, HeadroomObservation> observations = new HashMap<>();
        samplesByStep.forEach(
                (stepKey, samples) ->
                        observations.merge(
                                samples.get(0).image(),
                                observeStep(stepKey, samples, bestEffortCounts, nowMillis),
                                HeadroomObservation::leastHeadroom));
        return observations;
    }

    private HeadroomObservation observeStep(
            String stepKey,
            List<ServingSample> samples,
            Map<String, Double> bestEffortCounts,
            long nowMillis) {
        String image = samples.get(0).image();
        double used = 0;
        double usable = 1;
        for (ServingSample each : samples) {
            double idleMillis =
                    idleLatency.observe(image, each.latencyMillis(), each.targetMillis());
            used += Headroom.used(idleMillis, each.latencyMillis()) / samples.size();
            usable = Math.min(usable, Headroom.usable(idleMillis, each.targetMillis()));
        }
        OwnLoad previous = ownLoads.get(stepKey);
        Estimate ownLoad =
                previous == null
                        ? new Estimate(INITIAL_OWN_LOAD, MAXIMUM_OWN_LOAD_VARIANCE)
                        : previous.at(nowMillis);
        double expected = ownLoad.mean();
        double variance = ownLoad.variance() + OBSERVATION_VARIANCE;
        for (Map.Entry<String, Double> each : bestEffortCounts.entrySet()) {
            Estimate pressure = estimate(new ImagePair(image, each.getKey()));
            expected += each.getValue() * pressure.mean();
            variance += each.getValue() * each.getValue() * pressure.variance();
        }
        double error = used - expected;
        if (used < SATURATED_SHARE || error > 0) {
            double gain = ownLoad.variance() / variance;
            ownLoad =
                    new Estimate(
                            clampShare(ownLoad.mean() + gain * error),
                            ownLoad.variance() * (1 - gain));
            double errorPerVariance = error / variance;
            double totalVariance = variance;
            bestEffortCounts.forEach(
                    (bestEffortImage, count) ->
                            correct(
                                    new ImagePair(image, bestEffortImage),
                                    count,
                                    errorPerVariance,
                                    totalVariance));
        }
        ownLoads.put(stepKey, new OwnLoad(ownLoad, nowMillis));
        return new HeadroomObservation(ownLoad.mean(), usable);
    }

    private void correct(
            ImagePair pair, double count, double errorPerVariance, double totalVariance) {
        Estimate before = estimate(pair);
        double covariance = count * before.variance();
        double variance =
                before.variance()
                        - covariance * covariance / totalVariance
                        + PRESSURE_VARIANCE_PER_OBSERVATION;
        put(
                pair,
                new Estimate(
                        clampShare(before.mean() + covariance * errorPerVariance),
                        Math.min(INITIAL_PRESSURE_VARIANCE, variance)));
    }

    private void put(ImagePair pair, Estimate estimate) {
        Estimate before = pressures.put(pair, estimate);
        pressureSum += estimate.mean() - (before == null ? 0 : before.mean());
    }

    private static double clampShare(double value) {
        return Math.max(0, Math.min(1, value));
    }

    /** Returns the estimate of a pair; an unknown pair is expected to be like the others. */
    private Estimate estimate(ImagePair pair) {
        Estimate known = pressures.get(pair);
        if (known != null) {
            return known;
        }
        double mean =
                (INITIAL_ASSUMPTION_WEIGHT * UNKNOWN + pressureSum)
                        / (INITIAL_ASSUMPTION_WEIGHT + pressures.size());
        return new Estimate(mean, INITIAL_PRESSURE_VARIANCE);
    }

    /**
     * {@inheritDoc}
     *
     * <p>The result includes a margin for the uncertainty of the estimate, which shrinks with each
     * observation.
     */
    @Override
    public double pressure(String servingImage, String bestEffortImage) {
        Estimate estimate = estimate(new ImagePair(servingImage, bestEffortImage));
        return estimate.mean() + MARGIN_DEVIATIONS * Math.sqrt(estimate.variance());
    }

    /**
     * Adds the estimate of a former leader for a pair that has no estimate yet.
     *
     * @param pair the images
     * @param pressure the estimate
     */
    public void addPrior(ImagePair pair, double pressure) {
        if (!pressures.containsKey(pair)) {
            put(pair, new Estimate(clampShare(pressure), INHERITED_PRESSURE_VARIANCE));
        }
    }

    /**
     * Returns the learned pressures.
     *
     * @return the estimate of each pair that was observed
     */
    public Map<ImagePair, Estimate> learned() {
        return Map.copyOf(pressures);
    }

    /**
     * Replaces the estimate of a pair by that of a former leader, which is less certain now.
     *
     * @param pair the images
     * @param estimate the estimate
     */
    public void restore(ImagePair pair, Estimate estimate) {
        put(
                pair,
                new Estimate(
                        clampShare(estimate.mean()),
                        Math.max(INHERITED_PRESSURE_VARIANCE, estimate.variance())));
    }
}
