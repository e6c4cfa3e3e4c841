package org.yuccabank.policy.interference;

import java.util.Arrays;

/**
 * Linear regression by a Kalman filter over slowly changing weights. The number of features grows
 * as kinds are seen. Not thread-safe.
 *
 * <p>Invariant: each variance on the diagonal stays between 0 and the prior variance, so that a
 * feature that is not observed for long becomes uncertain again but no more than at the start.
 */
final class KalmanRegression {

    private final double priorWeight;
    private final double priorVariance;
    private final double noiseVariance;
    private double[] weights = {};
    private double[][] covariance = {};

    KalmanRegression(double priorWeight, double priorVariance, double noiseVariance) {
        this.priorWeight = priorWeight;
        this.priorVariance = priorVariance;
        this.noiseVariance = noiseVariance;
    }

    /** Makes room for features up to the given number. */
    void resize(int featureCount) {
        int before = weights.length;
        if (featureCount <= before) {
            return;
        }
        weights = Arrays.copyOf(weights, featureCount);
        Arrays.fill(weights, before, featureCount, priorWeight);
        covariance = Arrays.copyOf(covariance, featureCount);
        for (int row = 0; row < featureCount; row++) {
            covariance[row] =
                    row < before
                            ? Arrays.copyOf(covariance[row], featureCount)
                            : new double[featureCount];
            if (row >= before) {
                covariance[row][row] = priorVariance;
            }
        }
    }

    /** Expected value for a feature vector; features beyond the known ones have prior weight. */
    double mean(double[] features, int featureCount) {
        double sum = 0;
        for (int index = 0; index < featureCount; index++) {
            double weight = index < weights.length ? weights[index] : priorWeight;
            sum += weight * features[index];
        }
        return sum;
    }

    /** Variance of the expected value, without the noise of a measurement. */
    double variance(double[] features, int featureCount) {
        double sum = 0;
        for (int row = 0; row < featureCount; row++) {
            double value = features[row];
            if (value == 0) {
                continue;
            }
            if (row >= weights.length) {
                sum += value * value * priorVariance;
                continue;
            }
            double[] line = covariance[row];
            for (int column = 0; column < line.length && column < featureCount; column++) {
                sum += value * line[column] * features[column];
            }
        }
        return Math.max(0, sum);
    }

    /** Takes in one measurement. */
    void update(double[] features, int featureCount, double measured) {
        resize(featureCount);
        double[] gain = new double[weights.length];
        double innovationVariance = noiseVariance;
        for (int row = 0; row < gain.length; row++) {
            double sum = 0;
            for (int column = 0; column < featureCount; column++) {
                sum += covariance[row][column] * features[column];
            }
            gain[row] = sum;
        }
        for (int row = 0; row < featureCount; row++) {
            innovationVariance += gain[row] * features[row];
        }
        double error = measured - mean(features, featureCount);
        for (int row = 0; row < gain.length; row++) {
            weights[row] += gain[row] / innovationVariance * error;
            for (int column = 0; column < gain.length; column++) {
                covariance[row][column] -= gain[row] * gain[column] / innovationVariance;
            }
        }
    }

    /** Lets certainty fade by the given share of the prior variance. */
    void increaseVariance(double share) {
        for (int index = 0; index < weights.length; index++) {
            covariance[index][index] =
                    Math.min(priorVariance, covariance[index][index] + share * priorVariance);
        }
    }
}
