package org.yuccabank.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Routers that can be measured. */
enum RouterKind {
    /** Default router. */
    TWO_CHOICES("a few random targets compared by expected answer time (the default)"),
    /** Baseline. */
    RANDOM("any ready target with equal probability"),
    /** Baseline. */
    ROUND_ROBIN("the ready targets in turn"),
    /** Baseline. */
    LEAST_LOADED("the least load in the latest reports"),
    /** Upper bound for any router. */
    ORACLE("the least expected answer time by the true queues of all targets");

    private final String description;

    RouterKind(String description) {
        this.description = description;
    }

    static Optional<RouterKind> named(String name) {
        return List.of(values()).stream().filter(kind -> kind.label().equals(name)).findFirst();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    String description() {
        return description;
    }
}
