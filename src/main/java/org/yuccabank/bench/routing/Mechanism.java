package org.yuccabank.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** A mechanism that a run can do without, to show what it is worth. */
enum Mechanism {
    /** Comparison of several random targets. */
    CHOICES,
    /** Fading of reported load and service times. */
    AGEING,
    /** Exclusion of failing targets and avoidance of silent ones. */
    OUTLIERS,
    /** Preference for the near data centre. */
    NEAR_FIRST,
    /** Refusal of requests before dispatch. */
    ADMISSION,
    /** Limits of accounts under overload. */
    FAIR_SHARE,
    /** Any second attempt after a failure. */
    RETRIES,
    /** The bound on retries. */
    RETRY_BUDGET,
    /** Second attempts while the first has no answer. */
    HEDGING;

    static Optional<Mechanism> named(String name) {
        return List.of(values()).stream()
                .filter(mechanism -> mechanism.label().equals(name))
                .findFirst();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
