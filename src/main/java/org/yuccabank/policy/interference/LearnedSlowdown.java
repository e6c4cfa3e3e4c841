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
 * <p>An estimate is the expected value plus {@value #UNCERTAINTY_DEVIATIONS} standard deviations,
 * so pairs that were never measured count as harmful as the prior says and more, and converge to
 * their measured value as reports arrive.
 */
public final class LearnedSlowdown implements SlowdownEstimator {

    /** One standard deviation; with 2 the first placements avoid every unknown kind. */
    private static final double UNCERTAINTY_DEVIATIONS = 1.0;

    /** Slowdown per core before any report: 8 cores of an unknown kind add 0.4. */
    private static final double PRIOR_WEIGHT = 0.05;

    /** Standard deviation 0.1 per core covers pairs that slow by 1.8 at 8 cores. */
    private static final double PRIOR_VARIANCE = 0.01;

    /** A mean over a second of requests varies by about 0.1. */
    private static final double NOISE_VARIANCE = 0.01;

    /** Share of the prior variance that returns per second, so that shifts are followed. */
    private static final double PROCESS_NOISE_PER_SECOND = 1e-5;

    private static final int FEATURES_PER_KIND = 2;

    /** Features are centred on a usual load, which makes the two parts nearly independent. */
    private static final double REFERENCE_UTILISATION = 0.5;

    private final Map<WorkKind, Integer> indexByKind = new HashMap<>();
    private final Map<WorkKind, KalmanRegression> regressionByVictim = new HashMap<>();
    private double[] features = new double[16];
    private long lastAgedMillis;

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
     * @param hostLoad load on the host at the time of the measurement, not of its arrival
     * @param capacityMillis processors of the host
     * @param measuredSlowdown measured factor, 1 for no slowdown
     * @param nowMillis present time
     */
    public void observe(
            WorkKind victim,
            List<KindLoad> hostLoad,
            long capacityMillis,
            double measuredSlowdown,
            long nowMillis) {
        Objects.requireNonNull(victim, "victim is null");
        increaseUncertainty(nowMillis);
        for (int index = 0; index < hostLoad.size(); index++) {
            WorkKind kind = hostLoad.get(index).kind();
            indexByKind.computeIfAbsent(kind, absent -> indexByKind.size());
        }
        int featureCount = computeFeatures(victim, hostLoad, victim, 0, capacityMillis);
        regressionByVictim
                .computeIfAbsent(victim, absent -> newRegression())
                .update(features, featureCount, measuredSlowdown - 1);
    }

    @Override
    public double slowdown(
            WorkKind victim,
            List<KindLoad> hostLoad,
            WorkKind added,
            long addedMillis,
            long capacityMillis) {
        int featureCount = computeFeatures(victim, hostLoad, added, addedMillis, capacityMillis);
        KalmanRegression regression = regressionByVictim.get(victim);
        if (regression == null) {
            return 1 + prior(featureCount);
        }
        double mean = regression.mean(features, featureCount);
        double deviation = Math.sqrt(regression.variance(features, featureCount));
        return 1 + Math.max(0, mean + UNCERTAINTY_DEVIATIONS * deviation);
    }

    /**
     * Standard deviation of an estimate.
     *
     * @param victim kind whose slowdown is wanted
     * @param hostLoad load on the host
     * @param capacityMillis processors of the host
     * @return the standard deviation, infinite for a kind without any measurement
     */
    public double deviation(WorkKind victim, List<KindLoad> hostLoad, long capacityMillis) {
        KalmanRegression regression = regressionByVictim.get(victim);
        if (regression == null) {
            return Double.POSITIVE_INFINITY;
        }
        int featureCount = computeFeatures(victim, hostLoad, victim, 0, capacityMillis);
        return Math.sqrt(regression.variance(features, featureCount));
    }

    private double prior(int featureCount) {
        double sum = 0;
        for (int index = 0; index < featureCount; index += FEATURES_PER_KIND) {
            sum +=
                    (PRIOR_WEIGHT + UNCERTAINTY_DEVIATIONS * Math.sqrt(PRIOR_VARIANCE))
                            * features[index];
        }
        return sum;
    }

    private void increaseUncertainty(long nowMillis) {
        if (nowMillis - lastAgedMillis >= 1000) {
            double share = PROCESS_NOISE_PER_SECOND * (nowMillis - lastAgedMillis) / 1000;
            regressionByVictim.values().forEach(regression -> regression.increaseVariance(share));
            lastAgedMillis = nowMillis;
        }
    }

    /** Fills the feature vector and returns its length; the victim itself does not count. */
    private int computeFeatures(
            WorkKind victim,
            List<KindLoad> hostLoad,
            WorkKind added,
            long addedMillis,
            long capacityMillis) {
        int featureCount = FEATURES_PER_KIND * (indexByKind.size() + 1);
        if (features.length < featureCount) {
            features = new double[2 * featureCount];
        }
        Arrays.fill(features, 0, featureCount, 0);
        long totalMillis = addedMillis;
        for (int index = 0; index < hostLoad.size(); index++) {
            totalMillis += hostLoad.get(index).processorMillis();
        }
        double load = Math.max(0, Math.min(1.2, (double) totalMillis / capacityMillis));
        for (int index = 0; index < hostLoad.size(); index++) {
            KindLoad kind = hostLoad.get(index);
            if (!kind.kind().equals(victim)) {
                add(kind.kind(), kind.processorMillis(), load);
            }
        }
        if (addedMillis != 0 && !added.equals(victim)) {
            add(added, addedMillis, load);
        }
        return featureCount;
    }

    private void add(WorkKind kind, long millis, double load) {
        // Kinds that were never measured share the last position, which keeps the prior.
        int index = indexByKind.getOrDefault(kind, indexByKind.size());
        double cores = millis / 1000.0;
        features[FEATURES_PER_KIND * index] += cores;
        features[FEATURES_PER_KIND * index + 1] += cores * (load - REFERENCE_UTILISATION);
    }

    private static KalmanRegression newRegression() {
        return new KalmanRegression(PRIOR_WEIGHT, PRIOR_VARIANCE, NOISE_VARIANCE);
    }
}
