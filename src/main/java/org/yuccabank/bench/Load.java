package org.yuccabank.bench;

import java.util.Locale;
import java.util.Optional;

/**
 * Workload variations and faults during a run. Times are fractions of the run, so that the shape of
 * a load does not depend on the duration.
 */
enum Load {
    /** Constant rates. */
    STEADY(false, false, false, false, false, false),
    /** Request rates of half of the services and the mix of kinds change abruptly. */
    SHIFT(true, false, false, false, false, false),
    /** Tasks of the noisy kind arrive in waves. */
    NOISY_WAVES(false, true, false, false, false, false),
    /**
     * Some hosts crash, and others are cut off from the control role while their tasks keep
     * running.
     */
    HOSTS_LOST(false, false, true, false, false, false),
    /** Some hosts fail every start, and some jobs fail on every host. */
    FAILING_HOSTS(false, false, false, true, false, false),
    /** Declared sizes are wrong by up to a factor of 4 in either direction. */
    WRONG_DECLARATIONS(false, false, false, false, true, false),
    /** Three times during the run, a third of all batch jobs is cancelled at once. */
    CANCELLATION_WAVES(false, false, false, false, false, true),
    /** All variations and faults together. */
    ALL(true, true, true, true, true, true);

    /** Fraction of the run after which rates shift. */
    static final double SHIFT_START_FRACTION = 0.35;

    private static final double SHIFTED_REQUEST_FACTOR = 1.5;
    private static final double SHIFTED_NOISY_ARRIVAL_FACTOR = 2.0;

    /** With the duty cycle, each wave lasts a tenth of the run. */
    private static final int WAVES_PER_RUN = 3;

    private static final double WAVE_DUTY_CYCLE = 0.3;
    private static final double WAVE_ARRIVAL_FACTOR = 4.0;

    private final boolean shift;
    private final boolean noisyWaves;
    private final boolean hostsLost;
    private final boolean failingHosts;
    private final boolean wrongDeclarations;
    private final boolean cancellations;

    Load(
            boolean shift,
            boolean noisyWaves,
            boolean hostsLost,
            boolean failingHosts,
            boolean wrongDeclarations,
            boolean cancellations) {
        this.shift = shift;
        this.noisyWaves = noisyWaves;
        this.hostsLost = hostsLost;
        this.failingHosts = failingHosts;
        this.wrongDeclarations = wrongDeclarations;
        this.cancellations = cancellations;
    }

    /** Returns the load with the given label. */
    static Optional<Load> named(String name) {
        for (Load load : values()) {
            if (load.label().equals(name)) {
                return Optional.of(load);
            }
        }
        return Optional.empty();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the factor on the request rate of a service at a fraction of the run. */
    double requestRateFactor(int service, double elapsedFraction) {
        return shift && elapsedFraction >= SHIFT_START_FRACTION && service % 2 == 0
                ? SHIFTED_REQUEST_FACTOR
                : 1;
    }

    /** Returns the factor on the arrival rate of a kind at a fraction of the run. */
    double arrivalRateFactor(KindProfile kind, double elapsedFraction) {
        double factor = 1;
        if (kind.noisy() && shift && elapsedFraction >= SHIFT_START_FRACTION) {
            factor *= SHIFTED_NOISY_ARRIVAL_FACTOR;
        }
        if (kind.noisy() && noisyWaves && elapsedFraction * WAVES_PER_RUN % 1 < WAVE_DUTY_CYCLE) {
            factor *= WAVE_ARRIVAL_FACTOR;
        }
        return factor;
    }

    boolean hostsLost() {
        return hostsLost;
    }

    boolean failingHosts() {
        return failingHosts;
    }

    boolean wrongDeclarations() {
        return wrongDeclarations;
    }

    boolean cancellations() {
        return cancellations;
    }
}
