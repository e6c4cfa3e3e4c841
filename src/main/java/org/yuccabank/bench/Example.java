package org.yuccabank.bench;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.yuccabank.model.WorkKind;

/**
 * Example deployments that the benchmark simulates. Index 0 of {@code kinds} is the kind of the
 * service instances; rows and columns of the slowdown table have the same order.
 */
@SuppressWarnings("ImmutableEnumChecker") // unmodifiable lists; the table is never modified
enum Example {
    /** Caricature studio: previews are urgent, renders and encodes are batch work. */
    TAZZART(
            2.0,
            300,
            List.of(
                    new KindProfile(WorkKind.of("preview"), true, 0, 4, 8192, 0, 0, 0, false),
                    new KindProfile(WorkKind.of("gallery"), true, 1, 0.3, 700, 0, 90, 0, false),
                    new KindProfile(
                            WorkKind.of("render"), false, 0.40, 0.7, 2000, 0, 110, 2000, false),
                    new KindProfile(WorkKind.of("encode"), false, 0.20, 1.6, 3000, 0, 60, 0, true),
                    new KindProfile(WorkKind.of("print"), false, 0.25, 0.5, 4000, 0, 70, 0, false),
                    new KindProfile(
                            WorkKind.of("sketch"), false, 0.03, 1.0, 6000, 1, 120, 3000, false),
                    new KindProfile(
                            WorkKind.of("thumbnail"), false, 0.12, 0.4, 800, 0, 30, 0, false)),
            SlowdownModel.of(
                    List.of(
                            row(1.0, 1.1, 1.5, 2.5, 1.3, 1.2, 1.8),
                            row(1.1, 1.1, 1.3, 1.9, 1.2, 1.1, 1.4),
                            row(1.1, 1.0, 1.3, 1.6, 1.1, 1.2, 1.1),
                            row(1.1, 1.0, 1.2, 1.7, 1.1, 1.1, 1.2),
                            row(1.0, 1.0, 1.1, 1.4, 1.4, 1.0, 1.1),
                            row(1.0, 1.0, 1.2, 1.3, 1.0, 1.3, 1.0),
                            row(1.2, 1.0, 1.2, 1.5, 1.1, 1.0, 1.2)))),
    /**
     * Manufacturer of coat hook rails: quotes are urgent, costing runs and kiln plans are batch
     * work.
     */
    FERRAGLIA(
            6.0,
            400,
            List.of(
                    new KindProfile(WorkKind.of("quote"), true, 0, 4, 8192, 0, 0, 0, false),
                    new KindProfile(WorkKind.of("counter"), true, 1, 0.3, 600, 0, 90, 0, false),
                    new KindProfile(
                            WorkKind.of("costing"), false, 0.45, 0.8, 1500, 0, 60, 0, false),
                    new KindProfile(
                            WorkKind.of("kiln-plan"), false, 0.15, 1.2, 5000, 0, 180, 3000, false),
                    new KindProfile(WorkKind.of("import"), false, 0.15, 1.3, 2500, 0, 50, 0, true),
                    new KindProfile(WorkKind.of("report"), false, 0.20, 0.4, 1000, 0, 70, 0, false),
                    new KindProfile(
                            WorkKind.of("nesting"), false, 0.05, 1.0, 6000, 1, 100, 2000, false)),
            SlowdownModel.of(
                    List.of(
                            row(1.0, 1.1, 1.6, 1.4, 2.4, 1.2, 1.9),
                            row(1.1, 1.1, 1.3, 1.2, 1.8, 1.1, 1.5),
                            row(1.1, 1.0, 1.2, 1.3, 1.6, 1.1, 1.2),
                            row(1.0, 1.0, 1.2, 1.5, 1.4, 1.0, 1.3),
                            row(1.1, 1.0, 1.2, 1.2, 1.8, 1.1, 1.1),
                            row(1.0, 1.0, 1.1, 1.1, 1.3, 1.1, 1.1),
                            row(1.0, 1.0, 1.1, 1.3, 1.4, 1.0, 1.4))));

    /** Index of the kind of the service instances. */
    static final int SERVICE_KIND = 0;

    /** Index of the kind of the short urgent tasks. */
    static final int URGENT_TASK_KIND = 1;

    private final double networkRoundTripMillis;
    private final double deadlineMillis;
    private final List<KindProfile> kinds;
    private final SlowdownModel slowdown;

    Example(
            double networkRoundTripMillis,
            double deadlineMillis,
            List<KindProfile> kinds,
            SlowdownModel slowdown) {
        this.networkRoundTripMillis = networkRoundTripMillis;
        this.deadlineMillis = deadlineMillis;
        this.kinds = kinds;
        this.slowdown = slowdown;
    }

    /** Returns the example with the given label. */
    static Optional<Example> named(String name) {
        for (Example example : values()) {
            if (example.label().equals(name)) {
                return Optional.of(example);
            }
        }
        return Optional.empty();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the total network time of a request and its response. */
    double networkRoundTripMillis() {
        return networkRoundTripMillis;
    }

    double deadlineMillis() {
        return deadlineMillis;
    }

    List<KindProfile> kinds() {
        return kinds;
    }

    SlowdownModel slowdown() {
        return slowdown;
    }

    private static double[] row(double... slowdowns) {
        return slowdowns;
    }
}
