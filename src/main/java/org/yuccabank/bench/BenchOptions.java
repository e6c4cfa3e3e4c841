package org.yuccabank.bench;

import java.util.Objects;

/**
 * What a run of the policy bench measures. Immutable.
 *
 * @param example name of the deployment
 * @param workers number of hosts, at least 4
 * @param load name of the load
 * @param policy name of the policy
 * @param seed seed of every random number
 * @param durationSeconds simulated time, at least 40
 */
public record BenchOptions(
        String example, int workers, String load, String policy, long seed, int durationSeconds) {

    private static final int SMALL_FLEET = 100;
    private static final int LEAST_WORKERS = 4;
    private static final int LEAST_SECONDS = 40;

    /** Checks the parts. */
    public BenchOptions {
        Objects.requireNonNull(example, "example is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(policy, "policy is null");
        if (workers < LEAST_WORKERS) {
            throw new IllegalArgumentException("workers must be at least " + LEAST_WORKERS);
        }
        if (durationSeconds < LEAST_SECONDS) {
            throw new IllegalArgumentException(
                    "duration-seconds must be at least " + LEAST_SECONDS);
        }
    }

    /**
     * Simulated time if none is given: 300 s for small fleets, 180 s for large ones.
     *
     * @param workers number of hosts
     * @return the time in seconds
     */
    public static int usualDuration(int workers) {
        return workers <= SMALL_FLEET ? 300 : 180;
    }
}
