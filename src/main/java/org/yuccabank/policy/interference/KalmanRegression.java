package org.yuccabank.policy.interference;

import java.util.Arrays;

/**
 * Linear regression with slowly changing weights, estimated by a Kalman filter. The number of
 * features grows as kinds are observed. Not thread-safe.
 *
 * <p>Invariant: each variance on the diagonal stays between 0 and the prior variance, so that the
 * uncertainty of a feature without observations grows again, but never beyond its initial value.
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

    /** Extends the model to at least the given number of features. */
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

    /** Returns the expected value for a feature vector; unknown features have the prior weight. */
    double mean(double[] features, int featureCount) {
        double sum = 0;
        for (int index = 0; index < featureCount; index++) {
            double weight = index < weights.length ? weights[index] : priorWeight;
            sum += weight * features[index];
        }
        return sum;
    }

    /** Returns the variance of the expected value, excluding measurement noise. */
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
            double[] covarianceRow = covariance[row];
            for (int column = 0; column < covarianceRow.length && column < featureCount; column++) {
                sum += value * covarianceRow[column] * features[column];
            }
        }
        return Math.max(0, sum);
    }

    /** Updates the weights and their covariance with one measurement. */
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

    /** Increases each variance by the given share of the prior variance. */
    void increaseVariance(double share) {
        for (int index = 0; index < weights.length; index++) {
            covariance[index][index] =
                    Math.min(priorVariance, covariance[index][index] + share * priorVariance);
        }
    }
}
