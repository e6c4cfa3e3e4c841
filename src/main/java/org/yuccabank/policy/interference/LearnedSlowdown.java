package org.yuccabank.policy.interference;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/**
 * Learns the slowdown of each kind from measurements. The slowdown above 1 is modelled as a sum
 * over the kinds on the host; each kind has a constant weight per core and a weight that grows with
 * the utilisation of the host. Not thread-safe.
 *
 * <p>An estimate is the expected value plus {@value #UNCERTAINTY_DEVIATIONS} standard deviations.
 * Pairs without measurements are therefore estimated above the prior mean, and converge to their
 * measured value as reports arrive.
 */
public final class LearnedSlowdown implements SlowdownEstimator {

    /**
     * Number of standard deviations added to an estimate. With 2, the first placements would avoid
     * every unknown kind.
     */
    private static final double UNCERTAINTY_DEVIATIONS = 1.0;

    /** Slowdown per core before any report; 8 cores of an unknown kind add 0.4. */
    private static final double PRIOR_WEIGHT = 0.05;

    /** A standard deviation of 0.1 per core covers pairs with a slowdown of 1.8 at 8 cores. */
    private static final double PRIOR_VARIANCE = 0.01;

    /** The mean over one second of requests has a standard deviation of about 0.1. */
    private static final double NOISE_VARIANCE = 0.01;

    /** Share of the prior variance added per second, so that the model tracks changes. */
    private static final double PROCESS_NOISE_PER_SECOND = 1e-5;

    private static final int FEATURES_PER_KIND = 2;

    /**
     * Features are centred on a typical utilisation, which makes the two weights nearly
     * independent.
     */
    private static final double REFERENCE_UTILISATION = 0.5;

    private final Map<WorkKind, Integer> indexByKind = new HashMap<>();
    private final Map<WorkKind, KalmanRegression> regressionByVictim = new HashMap<>();
    private double[] features = new double[16];
    private long lastUncertaintyIncreaseMillis;

    private LearnedSlowdown() {}

    /**
     * Creates a model without measurements.
     *
     * @return the model
     */
    public static LearnedSlowdown create() {
        return new LearnedSlowdown();
    }

    /**
     * Updates the model with a measured slowdown.
     *
     * @param victim kind that was measured
     * @param hostLoad load on the host at the time of the measurement, not of its arrival
     * @param capacityMillis processors of the host, in thousandths of a core
     * @param measuredSlowdown measured factor, 1 for no slowdown
     * @param nowMillis current time
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
     * Returns the standard deviation of an estimate.
     *
     * @param victim kind whose slowdown is estimated
     * @param hostLoad load on the host
     * @param capacityMillis processors of the host, in thousandths of a core
     * @return the standard deviation, infinite for a kind without measurements
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
        if (nowMillis - lastUncertaintyIncreaseMillis >= 1000) {
            double share =
                    PROCESS_NOISE_PER_SECOND * (nowMillis - lastUncertaintyIncreaseMillis) / 1000;
            regressionByVictim.values().forEach(regression -> regression.increaseVariance(share));
            lastUncertaintyIncreaseMillis = nowMillis;
        }
    }

    /** Computes the feature vector and returns its length; the victim's own load is excluded. */
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
        double utilisation = Math.max(0, Math.min(1.2, (double) totalMillis / capacityMillis));
        for (int index = 0; index < hostLoad.size(); index++) {
            KindLoad kindLoad = hostLoad.get(index);
            if (!kindLoad.kind().equals(victim)) {
                addFeatures(kindLoad.kind(), kindLoad.processorMillis(), utilisation);
            }
        }
        if (addedMillis != 0 && !added.equals(victim)) {
            addFeatures(added, addedMillis, utilisation);
        }
        return featureCount;
    }

    private void addFeatures(WorkKind kind, long millis, double utilisation) {
        // Kinds without measurements share the last index, which keeps the prior.
        int index = indexByKind.getOrDefault(kind, indexByKind.size());
        double cores = millis / 1000.0;
        features[FEATURES_PER_KIND * index] += cores;
        features[FEATURES_PER_KIND * index + 1] += cores * (utilisation - REFERENCE_UTILISATION);
    }

    private static KalmanRegression newRegression() {
        return new KalmanRegression(PRIOR_WEIGHT, PRIOR_VARIANCE, NOISE_VARIANCE);
    }
}
