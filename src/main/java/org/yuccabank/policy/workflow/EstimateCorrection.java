package org.yuccabank.policy.workflow;

/**
 * Corrects the declared run times of a queue by the run times that it has shown. Declared run times
 * can be off by a factor of ten in either direction, so that a workflow declared as short is not
 * shorter than others; where they are accurate, they are kept.
 *
 * <p>The logarithm of the run time is predicted by a linear regression on that of the declared
 * estimate. Both the slope and the offset start from the assumption that estimates are right. Not
 * thread-safe.
 */
public final class EstimateCorrection {

    /** Weight of the assumption that estimates are right, in observed steps. */
    private static final double ASSUMPTION_WEIGHT = 3;

    /** Variance of the logarithm of the estimates in this assumption. */
    private static final double ASSUMED_VARIANCE = 0.5;

    private static final double MINIMUM_MILLIS = 1;

    /** Bounds the effect of a single run; estimates off by a factor of 14 have been observed. */
    private static final double MAXIMUM_RATIO = 16;

    /**
     * The sums of the regression, from which it can be continued. Immutable.
     *
     * @param weight number of observed steps
     * @param meanEstimate mean logarithm of the estimates
     * @param meanTime mean logarithm of the run times
     * @param estimateSquares sum of the squared deviations of the estimates
     * @param products sum of the products of both deviations
     */
    public record Sums(
            double weight,
            double meanEstimate,
            double meanTime,
            double estimateSquares,
            double products) {}

    private double weight;
    private double meanEstimate;
    private double meanTime;
    private double estimateSquares;
    private double products;

    EstimateCorrection() {}

    static EstimateCorrection of(Sums sums) {
        EstimateCorrection correction = new EstimateCorrection();
        correction.weight = sums.weight();
        correction.meanEstimate = sums.meanEstimate();
        correction.meanTime = sums.meanTime();
        correction.estimateSquares = sums.estimateSquares();
        correction.products = sums.products();
        return correction;
    }

    Sums sums() {
        return new Sums(weight, meanEstimate, meanTime, estimateSquares, products);
    }

    /**
     * Records a run time.
     *
     * @param estimatedMillis its declared estimate
     * @param millis the run time
     * @param observationWeight weight in steps, as the runs of a step share an estimate
     */
    void record(double estimatedMillis, double millis, double observationWeight) {
        double estimate = Math.log(Math.max(MINIMUM_MILLIS, estimatedMillis));
        double limit = Math.log(MAXIMUM_RATIO);
        double ratio = Math.log(Math.max(MINIMUM_MILLIS, millis)) - estimate;
        double time = estimate + Math.max(-limit, Math.min(limit, ratio));
        weight += observationWeight;
        double difference = estimate - meanEstimate;
        meanEstimate += difference * observationWeight / weight;
        meanTime += (time - meanTime) * observationWeight / weight;
        estimateSquares += observationWeight * difference * (estimate - meanEstimate);
        products += observationWeight * difference * (time - meanTime);
    }

    /**
     * Returns the expected run time. Before any run it is the estimate.
     *
     * @param estimatedMillis the declared estimate
     * @return the run time in milliseconds
     */
    double correct(double estimatedMillis) {
        double estimate = Math.log(Math.max(MINIMUM_MILLIS, estimatedMillis));
        double assumed = ASSUMPTION_WEIGHT * ASSUMED_VARIANCE;
        double slope = Math.max(0, (products + assumed) / (estimateSquares + assumed));
        double offset = (meanTime - meanEstimate) * weight / (weight + ASSUMPTION_WEIGHT);
        return Math.exp(meanEstimate + offset + slope * (estimate - meanEstimate));
    }
}
