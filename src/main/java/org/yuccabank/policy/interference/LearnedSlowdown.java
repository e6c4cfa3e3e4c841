package org.yuccabank.policy.interference;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/**
 * Learns the slowdown of each kind from measurements. The slowdown above 1 is a sum over the kinds
 * on the host, each with a part that is constant per processor and a part that grows with the load
 * of the host. Not thread-safe.
 *
 * <p>An estimate is the expected value plus {@value #CAUTION} standard deviations, so pairs that
 * were never measured count as harmful as the prior says and more, and converge to their measured
 * value as reports arrive.
 */
public final class LearnedSlowdown implements SlowdownEstimator {

    /** One standard deviation; with 2 the first placements avoid every unknown kind. */
    private static final double CAUTION = 1.0;

    /** Slowdown per core before any report: 8 cores of an unknown kind add 0.4. */
    private static final double PRIOR_WEIGHT = 0.05;

    /** Standard deviation 0.1 per core covers pairs that slow by 1.8 at 8 cores. */
    private static final double PRIOR_VARIANCE = 0.01;

    /** A mean over a second of requests varies by about 0.1. */
    private static final double NOISE_VARIANCE = 0.01;

    /** Share of the prior variance that returns per second, so that shifts are followed. */
    private static final double AGING_PER_SECOND = 1e-5;

    private static final int FEATURES_PER_KIND = 2;

    /** Features are centred on a usual load, which makes the two parts nearly independent. */
    private static final double REFERENCE_LOAD = 0.5;

    private final Map<WorkKind, Integer> positions = new HashMap<>();
    private final Map<WorkKind, Regression> victims = new HashMap<>();
    private double[] features = new double[16];
    private long agedAtMillis;

    private LearnedSlowdown() {}

    /**
     * Creates a model without any measurement.
     *
     * @return the model
     */
    public static LearnedSlowdown create() {
        return new LearnedSlowdown();
    }

    /**
     * Takes in a measured slowdown.
     *
     * @param victim kind that was measured
     * @param together load on the host at the time of the measurement, not of its arrival
     * @param capacityMillis processors of the host
     * @param measured measured factor, 1 for no slowdown
     * @param nowMillis present time
     */
    public void observe(
            WorkKind victim,
            List<KindLoad> together,
            long capacityMillis,
            double measured,
            long nowMillis) {
        Objects.requireNonNull(victim, "victim is null");
        age(nowMillis);
        for (int index = 0; index < together.size(); index++) {
            WorkKind kind = together.get(index).kind();
            positions.computeIfAbsent(kind, absent -> positions.size());
        }
        int length = fill(victim, together, victim, 0, capacityMillis);
        victims.computeIfAbsent(victim, absent -> newRegression())
                .observe(features, length, measured - 1);
    }

    @Override
    public double slowdown(
            WorkKind victim,
            List<KindLoad> present,
            WorkKind added,
            long addedMillis,
            long capacityMillis) {
        int length = fill(victim, present, added, addedMillis, capacityMillis);
        Regression regression = victims.get(victim);
        if (regression == null) {
            return 1 + prior(length);
        }
        double mean = regression.mean(features, length);
        double deviation = Math.sqrt(regression.variance(features, length));
        return 1 + Math.max(0, mean + CAUTION * deviation);
    }

    /**
     * Standard deviation of an estimate.
     *
     * @param victim kind whose slowdown is wanted
     * @param present load on the host
     * @param capacityMillis processors of the host
     * @return the standard deviation, infinite for a kind without any measurement
     */
    public double deviation(WorkKind victim, List<KindLoad> present, long capacityMillis) {
        Regression regression = victims.get(victim);
        if (regression == null) {
            return Double.POSITIVE_INFINITY;
        }
        int length = fill(victim, present, victim, 0, capacityMillis);
        return Math.sqrt(regression.variance(features, length));
    }

    private double prior(int length) {
        double sum = 0;
        for (int index = 0; index < length; index += FEATURES_PER_KIND) {
            sum += (PRIOR_WEIGHT + CAUTION * Math.sqrt(PRIOR_VARIANCE)) * features[index];
        }
        return sum;
    }

    private void age(long nowMillis) {
        if (nowMillis - agedAtMillis >= 1000) {
            double share = AGING_PER_SECOND * (nowMillis - agedAtMillis) / 1000;
            victims.values().forEach(regression -> regression.age(share));
            agedAtMillis = nowMillis;
        }
    }

    /** Fills the feature vector and returns its length; the victim itself does not count. */
    private int fill(
            WorkKind victim,
            List<KindLoad> present,
            WorkKind added,
            long addedMillis,
            long capacityMillis) {
        int length = FEATURES_PER_KIND * (positions.size() + 1);
        if (features.length < length) {
            features = new double[2 * length];
        }
        Arrays.fill(features, 0, length, 0);
        long total = addedMillis;
        for (int index = 0; index < present.size(); index++) {
            total += present.get(index).processorMillis();
        }
        double load = Math.max(0, Math.min(1.2, (double) total / capacityMillis));
        for (int index = 0; index < present.size(); index++) {
            KindLoad kind = present.get(index);
            if (!kind.kind().equals(victim)) {
                add(kind.kind(), kind.processorMillis(), load);
            }
        }
        if (addedMillis != 0 && !added.equals(victim)) {
            add(added, addedMillis, load);
        }
        return length;
    }

    private void add(WorkKind kind, long millis, double load) {
        // Kinds that were never measured share the last position, which keeps the prior.
        int position = positions.getOrDefault(kind, positions.size());
        double cores = millis / 1000.0;
        features[FEATURES_PER_KIND * position] += cores;
        features[FEATURES_PER_KIND * position + 1] += cores * (load - REFERENCE_LOAD);
    }

    private static Regression newRegression() {
        return new Regression(PRIOR_WEIGHT, PRIOR_VARIANCE, NOISE_VARIANCE);
    }
}
