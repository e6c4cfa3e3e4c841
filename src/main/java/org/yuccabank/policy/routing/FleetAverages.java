package org.yuccabank.policy.routing;

/**
 * Decayed averages over the answers of all targets, to which the estimates of a single target fade
 * when they grow old. Mutable; not thread-safe.
 */
final class FleetAverages {

    /** Answers over which the averages reach; several per target at the present sizes. */
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
