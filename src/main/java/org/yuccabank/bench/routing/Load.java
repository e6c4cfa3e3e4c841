package org.yuccabank.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Offered load and fault of a run. Faults start after one third of the run and end after two
 * thirds.
 */
enum Load {
    /** Constant load. */
    STEADY(0.70, "constant load of 70 % of capacity"),
    /** Demand grows abruptly. */
    SHIFT(0.50, "from 50 % to 90 % of capacity abruptly, then back"),
    /** One target serves five times slower. */
    SLOW_TARGET(0.65, "the first target serves five times slower for a third of the run"),
    /** One target and its connections stop responding. */
    SILENT_TARGET(0.65, "the first target answers nothing for a third of the run"),
    /** One target answers every request with an error immediately. */
    FAILING_TARGET(0.65, "the first target answers every request with an error immediately"),
    /** Demand exceeds capacity. */
    OVERLOAD(1.50, "1.5 times capacity, one account sends 40 % of it"),
    /** One target announces that it leaves. */
    TARGET_LEAVING(0.65, "the first target announces that it leaves"),
    /** One entry process crashes. */
    ENTRY_LOST(0.65, "the first entry crashes; its callers switch to the others");

    /** Factor on the service times of the slow target. */
    static final double SLOW_TARGET_FACTOR = 5;

    /** Factor on the load of {@link #SHIFT} during the middle third. */
    static final double SHIFT_FACTOR = 1.8;

    private final double offeredShare;
    private final String description;

    Load(double offeredShare, String description) {
        this.offeredShare = offeredShare;
        this.description = description;
    }

    static Optional<Load> named(String name) {
        return List.of(values()).stream().filter(load -> load.label().equals(name)).findFirst();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    String description() {
        return description;
    }

    /** Returns the offered work as a share of the capacity of all targets. */
    double offeredShare() {
        return offeredShare;
    }
}
