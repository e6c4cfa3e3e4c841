package org.yuccabank.bench;

import java.util.Locale;
import java.util.Optional;

/**
 * What happens to the fleet during a run. Times are shares of the run, so that a load has the same
 * shape whatever its duration.
 */
enum Load {
    /** Constant rates. */
    STEADY(false, false, false, false, false, false),
    /** Request rates of half of the services and the mix of kinds change without warning. */
    SHIFT(true, false, false, false, false, false),
    /** The noisy kind arrives in waves. */
    NOISY_WAVES(false, true, false, false, false, false),
    /** Hosts die, others lose contact with the control role while their tasks run on. */
    HOSTS_LOST(false, false, true, false, false, false),
    /** Some hosts fail every start, and some jobs fail on every host. */
    FAILING_HOSTS(false, false, false, true, false, false),
    /** Declared sizes are off by up to a factor of 4 either way. */
    WRONG_DECLARATIONS(false, false, false, false, true, false),
    /** A third of all batch jobs is cancelled at once, several times. */
    CANCELLATION_WAVES(false, false, false, false, false, true),
    /** Everything together. */
    ALL(true, true, true, true, true, true);

    /** Share of the run after which rates shift. */
    static final double SHIFT_START_FRACTION = 0.35;

    private static final double SHIFTED_REQUEST_FACTOR = 1.5;
    private static final double SHIFTED_NOISY_ARRIVAL_FACTOR = 2.0;

    /** Three waves per run, each a tenth of the run long. */
    private static final int WAVES_PER_RUN = 3;

    private static final double WAVE_DUTY_CYCLE = 0.3;
    private static final double WAVE_ARRIVAL_FACTOR = 4.0;

    private final boolean shift;
    private final boolean waves;
    private final boolean hostsLost;
    private final boolean failingHosts;
    private final boolean wrongDeclarations;
    private final boolean cancellations;

    Load(
            boolean shift,
            boolean waves,
            boolean hostsLost,
            boolean failingHosts,
            boolean wrongDeclarations,
            boolean cancellations) {
        this.shift = shift;
        this.waves = waves;
        this.hostsLost = hostsLost;
        this.failingHosts = failingHosts;
        this.wrongDeclarations = wrongDeclarations;
        this.cancellations = cancellations;
    }

    /** Finds a load by its label. */
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

    /** Factor of the request rate of a service at a share of the run. */
    double requestRateFactor(int service, double elapsedFraction) {
        return shift && elapsedFraction >= SHIFT_START_FRACTION && service % 2 == 0
                ? SHIFTED_REQUEST_FACTOR
                : 1;
    }

    /** Factor of the arrival rate of a kind at a share of the run. */
    double arrivalRateFactor(KindProfile kind, double elapsedFraction) {
        double factor = 1;
        if (kind.noisy() && shift && elapsedFraction >= SHIFT_START_FRACTION) {
            factor *= SHIFTED_NOISY_ARRIVAL_FACTOR;
        }
        if (kind.noisy() && waves && elapsedFraction * WAVES_PER_RUN % 1 < WAVE_DUTY_CYCLE) {
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
