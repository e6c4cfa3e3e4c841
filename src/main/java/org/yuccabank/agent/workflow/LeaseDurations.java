package org.yuccabank.agent.workflow;

/**
 * How long leases last. Immutable.
 *
 * @param horizonMillis longest time for which a worker may run tasks after a report that the leader
 *     answered
 * @param renewalMillis how long a lease lasts that the agent renews at the worker, at most the
 *     horizon
 */
public record LeaseDurations(long horizonMillis, long renewalMillis) {

    /** Checks the parts. */
    public LeaseDurations {
        if (renewalMillis < 1 || renewalMillis > horizonMillis) {
            throw new IllegalArgumentException(
                    "the renewal must be positive and not longer than the horizon");
        }
    }
}
