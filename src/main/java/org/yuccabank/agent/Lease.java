package org.yuccabank.agent;

/**
 * The end of a lease on the agent's clock. Immutable.
 *
 * @param stopAtMillis time at which the agent starts to stop the task, earlier than the end by the
 *     clock drift that leases tolerate between this host and control
 * @param endMillis time at which the worker stops the task on its own
 */
record Lease(long stopAtMillis, long endMillis) {

    static Lease of(long startMillis, long durationMillis, int driftPercent) {
        long margin = durationMillis * driftPercent / 100;
        return new Lease(startMillis + durationMillis - margin, startMillis + durationMillis);
    }

    static Lease endedAt(long nowMillis) {
        return new Lease(nowMillis, nowMillis);
    }
}
