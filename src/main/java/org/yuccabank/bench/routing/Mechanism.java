package org.yuccabank.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Routing mechanism that a run can disable, to measure its effect. */
enum Mechanism {
    /** Comparison of several random targets. */
    CHOICES,
    /** Decay of reported load and service times with age. */
    AGEING,
    /** Exclusion of failing targets and avoidance of silent ones. */
    OUTLIERS,
    /** Preference for targets in the near data centre. */
    NEAR_FIRST,
    /** Admission control before dispatch. */
    ADMISSION,
    /** Fair shares of accounts under overload. */
    FAIR_SHARE,
    /** Retries after failed attempts. */
    RETRIES,
    /** Limit on the share of retries. */
    RETRY_BUDGET,
    /** Second attempt while the first is unanswered. */
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
