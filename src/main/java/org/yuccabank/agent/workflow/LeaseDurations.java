package org.yuccabank.agent.workflow;

/**
 * The durations of worker leases. Immutable.
 *
 * @param horizonMillis maximum time for which a worker may run tasks after the agent sent a report
 *     that the leader answered
 * @param renewalMillis duration of a lease that the agent renews at the worker, at most the horizon
 */
public record LeaseDurations(long horizonMillis, long renewalMillis) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the renewal is not positive or exceeds the horizon
     */
    public LeaseDurations {
        if (renewalMillis < 1 || renewalMillis > horizonMillis) {
            throw new IllegalArgumentException(
                    "the renewal must be positive and must not exceed the horizon of "
                            + horizonMillis
                            + " ms: "
                            + renewalMillis);
        }
    }
}
