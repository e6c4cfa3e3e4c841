package org.yuccabank.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Example deployments with their network delays and the mix of their requests. Immutable. */
enum Example {
    /** Caricature studio: short previews with a tight deadline. */
    TAZZART(
            1000,
            1500,
            List.of(
                    new RequestKind("preview", 0.80, 40_000, 0.5, 300, 6, true),
                    new RequestKind("gallery", 0.15, 15_000, 0.5, 500, 3, true),
                    new RequestKind("charge", 0.05, 60_000, 0.4, 2000, 9, false))),
    /** Manufacturer of coat hook rails: quotes with a wide service time and a longer deadline. */
    FERRAGLIA(
            3000,
            1000,
            List.of(
                    new RequestKind("quote", 0.95, 90_000, 0.7, 1000, 6, true),
                    new RequestKind("order-cut", 0.05, 50_000, 0.4, 3000, 9, false)));

    /** Number of data centres of each example. */
    static final int DATA_CENTRES = 3;

    /** One-way delay between two hosts in the same data centre. */
    static final long INTRA_DATA_CENTRE_MICROS = 100;

    private final long clientOneWayMicros;
    private final long interDataCentreMicros;

    // List.of returns an immutable list, which the type does not express.
    @SuppressWarnings("ImmutableEnumChecker")
    private final List<RequestKind> kinds;

    Example(long clientOneWayMicros, long interDataCentreMicros, List<RequestKind> kinds) {
        this.clientOneWayMicros = clientOneWayMicros;
        this.interDataCentreMicros = interDataCentreMicros;
        this.kinds = kinds;
    }

    static Optional<Example> named(String name) {
        return List.of(values()).stream()
                .filter(example -> example.label().equals(name))
                .findFirst();
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the one-way delay between a client and an entry. */
    long clientOneWayMicros() {
        return clientOneWayMicros;
    }

    /** Returns the one-way delay between an entry and a target. */
    long oneWayMicros(int entryDataCentre, int targetDataCentre) {
        return entryDataCentre == targetDataCentre
                ? INTRA_DATA_CENTRE_MICROS
                : interDataCentreMicros;
    }

    List<RequestKind> kinds() {
        return kinds;
    }

    /** Returns the mean service time over all requests. */
    double meanServiceMicros() {
        return kinds.stream().mapToDouble(kind -> kind.requestShare() * kind.meanMicros()).sum();
    }
}
