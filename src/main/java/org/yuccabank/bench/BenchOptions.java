package org.yuccabank.bench;

import java.util.Objects;

/**
 * Options of a run of the policy benchmark. Immutable.
 *
 * @param example name of the example deployment
 * @param workers number of hosts, at least 4
 * @param load name of the load
 * @param policy name of the policy
 * @param seed seed of the random number generators
 * @param durationSeconds simulated time in seconds, at least 40
 */
public record BenchOptions(
        String example, int workers, String load, String policy, long seed, int durationSeconds) {

    private static final int MAXIMUM_SMALL_FLEET_WORKERS = 100;
    private static final int MINIMUM_WORKERS = 4;
    private static final int MINIMUM_DURATION_SECONDS = 40;

    /** Validates the components. */
    public BenchOptions {
        Objects.requireNonNull(example, "example is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(policy, "policy is null");
        if (workers < MINIMUM_WORKERS) {
            throw new IllegalArgumentException(
                    "workers must be at least " + MINIMUM_WORKERS + ", not " + workers);
        }
        if (durationSeconds < MINIMUM_DURATION_SECONDS) {
            throw new IllegalArgumentException(
                    "duration-seconds must be at least "
                            + MINIMUM_DURATION_SECONDS
                            + ", not "
                            + durationSeconds);
        }
    }

    /**
     * Returns the default simulated time: 300 s for up to 100 workers, 180 s for more.
     *
     * @param workers number of hosts
     * @return the time in seconds
     */
    public static int defaultDurationSeconds(int workers) {
        return workers <= MAXIMUM_SMALL_FLEET_WORKERS ? 300 : 180;
    }
}
