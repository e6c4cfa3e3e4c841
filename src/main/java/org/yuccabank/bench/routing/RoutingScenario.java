package org.yuccabank.bench.routing;

import java.util.Set;

/**
 * Parameters that fully determine a run. Immutable.
 *
 * @param example deployment that defines the requests and delays
 * @param targets number of targets
 * @param entries number of entry processes
 * @param load offered load and fault
 * @param router router of every entry
 * @param disabledMechanisms disabled mechanisms
 * @param seconds simulated time in which requests arrive, in seconds
 * @param seed seed of the random number generators
 */
record RoutingScenario(
        Example example,
        int targets,
        int entries,
        Load load,
        RouterKind router,
        Set<Mechanism> disabledMechanisms,
        int seconds,
        long seed) {

    /** Requests that a target runs concurrently. */
    static final int SLOTS = 8;

    /** Requests that a target holds at most, running or queued. */
    static final int CONNECTIONS = 64;

    /** Number of accounts; the first one sends {@link #GREEDY_SHARE} of the requests. */
    static final int ACCOUNTS = 10;

    /** Share of all requests that the first account sends. */
    static final double GREEDY_SHARE = 0.4;

    private static final int MAXIMUM_DEFAULT_SECONDS = 60;

    private static final int MINIMUM_DEFAULT_SECONDS = 6;

    /** Limits the number of requests in a run of the default length. */
    private static final int MAXIMUM_TARGET_SECONDS = 6600;

    /** Validates the components. */
    RoutingScenario {
        if (targets < 1 || entries < 1 || seconds < 1) {
            throw new IllegalArgumentException("targets, entries and seconds must be positive");
        }
        disabledMechanisms = Set.copyOf(disabledMechanisms);
    }

    /**
     * Returns the default length of a run, which yields enough requests for any number of targets.
     */
    static int defaultSeconds(int targets) {
        return Math.max(
                MINIMUM_DEFAULT_SECONDS,
                Math.min(MAXIMUM_DEFAULT_SECONDS, MAXIMUM_TARGET_SECONDS / targets));
    }

    boolean isEnabled(Mechanism mechanism) {
        return !disabledMechanisms.contains(mechanism);
    }

    long endMicros() {
        return seconds * 1_000_000L;
    }

    long faultStartMicros() {
        return endMicros() / 3;
    }

    long faultEndMicros() {
        return 2 * endMicros() / 3;
    }

    /** Returns the number of requests per second that keeps all slots busy. */
    double capacityPerSecond() {
        return targets * SLOTS * 1e6 / example.meanServiceMicros();
    }
}
