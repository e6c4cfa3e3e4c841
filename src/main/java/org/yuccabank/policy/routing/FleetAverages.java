package org.yuccabank.policy.routing;

/**
 * Moving averages over the answers of all targets, towards which outdated estimates of a single
 * target decay. Mutable; not thread-safe.
 */
final class FleetAverages {

    /** Number of answers averaged, several per target at current fleet sizes. */
    private static final double WINDOW_ANSWERS = 256;

    private double serviceMicros;
    private double externalLoad;
    private long answers;

    void add(double serviceSample, double externalLoadSample) {
        answers++;
        double weight = 1 / Math.min((double) answers, WINDOW_ANSWERS);
        serviceMicros += weight * (serviceSample - serviceMicros);
        externalLoad += weight * (externalLoadSample - externalLoad);
    }

    double serviceMicros() {
        return serviceMicros;
    }

    double externalLoad() {
        return externalLoad;
    }
}
