package org.yuccabank.policy.routing;

/**
 * Decayed averages over the answers of all targets, to which the estimates of a single target fade
 * when they grow old. Mutable; not thread-safe.
 */
final class FleetAverages {

    /** Answers over which the averages reach; several per target at the present sizes. */
    private static final double MEMORY = 256;

    private double serviceMicros;
    private double othersLoad;
    private long answers;

    void add(double serviceSample, double othersSample) {
        answers++;
        double weight = 1 / Math.min((double) answers, MEMORY);
        serviceMicros += weight * (serviceSample - serviceMicros);
        othersLoad += weight * (othersSample - othersLoad);
    }

    double serviceMicros() {
        return serviceMicros;
    }

    double othersLoad() {
        return othersLoad;
    }
}
