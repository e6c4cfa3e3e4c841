package org.yuccabank.agent.workflow;

/**
 * The durations of worker leases. Immutable.
 *
 * @param horizonMillis maximum time for which a worker may run tasks after the agent sent a report
 *     that the leader answered
 * @param renewalMillis duration of a lease that the agent renews at the worker, at most the horizon
 * @param clockDriftFraction maximum fraction by which the worker's clock is slow, 0.1 for 10%
 */
public record LeaseDurations(long horizonMillis, long renewalMillis, double clockDriftFraction) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the renewal is not positive or exceeds the horizon, or if
     *     the drift is not a fraction
     */
    public LeaseDurations {
        if (renewalMillis < 1 || renewalMillis > horizonMillis) {
            throw new IllegalArgumentException(
                    "the renewal must be positive and must not exceed the horizon of "
                            + horizonMillis
                            + " ms: "
                            + renewalMillis);
        }
        if (clockDriftFraction < 0 || clockDriftFraction >= 1) {
            throw new IllegalArgumentException("not a fraction: " + clockDriftFraction);
        }
    }

    /** Returns the least time that passes on the worker's clock during a time of the agent. */
    long minimumWorkerMillis(long agentMillis) {
        return (long) Math.floor(agentMillis * (1 - clockDriftFraction));
    }
}
