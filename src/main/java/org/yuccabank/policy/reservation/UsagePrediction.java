package org.yuccabank.policy.reservation;

/** Predicts an upper bound of usage from declared sizes and past usage. Not thread-safe. */
final class UsagePrediction {

    private final Moments absoluteUsage = new Moments();
    private final Moments usageRatio = new Moments();

    void add(double usage, double declared) {
        absoluteUsage.add(usage);
        usageRatio.add(usage / Math.max(1, declared));
    }

    int count() {
        return absoluteUsage.count;
    }

    /** Returns the predicted mean usage plus the given number of standard deviations. */
    double upperBound(double declared, double deviations) {
        if (usageRatio.coefficientOfVariation() <= absoluteUsage.coefficientOfVariation()) {
            return declared * usageRatio.upperBound(deviations);
        }
        return absoluteUsage.upperBound(deviations);
    }

    /** Mean and variance with decay; the weight of a new value falls to 1/{@value #WINDOW}. */
    private static final class Moments {
        private static final int WINDOW = 200;

        private int count;
        private double mean;
        private double variance;

        void add(double value) {
            count++;
            double weight = 1.0 / Math.min(count, WINDOW);
            double deviation = value - mean;
            mean += weight * deviation;
            variance = (1 - weight) * (variance + weight * deviation * deviation);
        }

        double upperBound(double deviations) {
            return mean + deviations * Math.sqrt(variance);
        }

        double coefficientOfVariation() {
            return mean <= 0 ? Double.POSITIVE_INFINITY : Math.sqrt(variance) / mean;
        }
    }
}
