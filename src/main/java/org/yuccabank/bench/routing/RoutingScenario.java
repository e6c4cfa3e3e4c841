package org.yuccabank.bench.routing;

import java.util.Set;

/**
 * Everything that determines a run. Immutable.
 *
 * @param example whose requests and delays
 * @param targets number of targets
 * @param entries number of entry processes
 * @param load offered load and faults
 * @param router router of every entry
 * @param disabledMechanisms mechanisms that are switched off
 * @param seconds simulated time in which requests arrive
 * @param seed seed of all random numbers
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

    /** Requests that a target runs at a time. */
    static final int SLOTS = 8;

    /** Requests that a target holds at a time, running or waiting. */
    static final int CONNECTIONS = 64;

    /** Accounts that send requests; the first sends {@link #GREEDY_SHARE} of them. */
    static final int ACCOUNTS = 10;

    /** Part of all requests that the first account sends. */
    static final double GREEDY_SHARE = 0.4;

    private static final int MAX_DEFAULT_SECONDS = 60;

    private static final int MIN_DEFAULT_SECONDS = 6;

    /** Bounds the number of requests of a run. */
    private static final int MAX_TARGET_SECONDS = 6600;

    /** Checks the parts. */
    RoutingScenario {
        if (targets < 1 || entries < 1 || seconds < 1) {
            throw new IllegalArgumentException("targets, entries and seconds must be positive");
        }
        disabledMechanisms = Set.copyOf(disabledMechanisms);
    }

    /** Length of a run that gives enough requests at any size. */
    static int defaultSeconds(int targets) {
        return Math.max(
                MIN_DEFAULT_SECONDS, Math.min(MAX_DEFAULT_SECONDS, MAX_TARGET_SECONDS / targets));
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

    /** Requests per second that use all slots. */
    double capacityPerSecond() {
        return targets * SLOTS * 1e6 / example.meanServiceMicros();
    }
}
