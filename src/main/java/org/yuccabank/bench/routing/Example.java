package org.yuccabank.bench.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** The two users: their network delays and the requests that their callers send. Immutable. */
enum Example {
    /** Caricature studios: short previews with a tight deadline. */
    TAZZART(
            1000,
            1500,
            List.of(
                    new RequestKind("preview", 0.80, 40_000, 0.5, 300, 6, true),
                    new RequestKind("gallery", 0.15, 15_000, 0.5, 500, 3, true),
                    new RequestKind("charge", 0.05, 60_000, 0.4, 2000, 9, false))),
    /** Coat hook rails: quotes with a wide service time and a longer deadline. */
    FERRAGLIA(
            3000,
            1000,
            List.of(
                    new RequestKind("quote", 0.95, 90_000, 0.7, 1000, 6, true),
                    new RequestKind("order-cut", 0.05, 50_000, 0.4, 3000, 9, false)));

    /** Data centres of each user. */
    static final int DATA_CENTRES = 3;

    /** One-way delay between two hosts of one data centre. */
    static final long INTRA_DATA_CENTRE_MICROS = 100;

    private final long clientOneWayMicros;
    private final long interDataCentreMicros;

    // List.of gives an immutable list, which the type does not show.
    @SuppressWarnings("ImmutableEnumChecker")
    private final List<RequestKind> kinds;

    Example(long clientDelayMicros, long betweenDataCentresMicros, List<RequestKind> kinds) {
        this.clientOneWayMicros = clientDelayMicros;
        this.interDataCentreMicros = betweenDataCentresMicros;
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

    /** One-way delay between a client and an entry. */
    long clientOneWayMicros() {
        return clientOneWayMicros;
    }

    /** One-way delay between an entry and a target. */
    long oneWayMicros(int entryDataCentre, int targetDataCentre) {
        return entryDataCentre == targetDataCentre
                ? INTRA_DATA_CENTRE_MICROS
                : interDataCentreMicros;
    }

    List<RequestKind> kinds() {
        return kinds;
    }

    /** Mean service time over all requests. */
    double meanServiceMicros() {
        return kinds.stream().mapToDouble(kind -> kind.share() * kind.meanMicros()).sum();
    }
}
