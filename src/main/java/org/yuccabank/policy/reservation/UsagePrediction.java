package org.yuccabank.policy.reservation;

/** Predicts usage from declared sizes and past usage, with an upper bound. Not thread-safe. */
final class UsagePrediction {

    private final Moments amount = new Moments();
    private final Moments ratio = new Moments();

    void add(double usage, double declared) {
        amount.add(usage);
        ratio.add(usage / Math.max(1, declared));
    }

    int count() {
        return amount.count;
    }

    /** Usage that is exceeded only by tasks more than the given deviations above the mean. */
    double upperBound(double declared, double deviations) {
        if (ratio.relativeSpread() <= amount.relativeSpread()) {
            return declared * ratio.upperBound(deviations);
        }
        return amount.upperBound(deviations);
    }

    /** Mean and variance that follow changes: old values fade with weight 1/{@value #WINDOW}. */
    private static final class Moments {
        private static final int WINDOW = 200;

        private int count;
        private double mean;
        private double variance;

        void add(double value) {
            count++;
            double weight = 1.0 / Math.min(count, WINDOW);
            double difference = value - mean;
            mean += weight * difference;
            variance = (1 - weight) * (variance + weight * difference * difference);
        }

        double upperBound(double deviations) {
            return mean + deviations * Math.sqrt(variance);
        }

        double relativeSpread() {
            return mean <= 0 ? Double.POSITIVE_INFINITY : Math.sqrt(variance) / mean;
        }
    }
}
