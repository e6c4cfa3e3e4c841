package org.yuccabank.agent;

/**
 * When a lease ends on this host. Immutable.
 *
 * @param stopAtMillis time at which the agent begins to stop the task: the clock of this host may
 *     be slower than that of control by the allowed drift
 * @param endMillis time at which the worker stops the task in any case
 */
record Lease(long stopAtMillis, long endMillis) {

    static Lease of(long baseMillis, long durationMillis, int driftPercent) {
        long margin = durationMillis * driftPercent / 100;
        return new Lease(baseMillis + durationMillis - margin, baseMillis + durationMillis);
    }

    static Lease endedAt(long nowMillis) {
        return new Lease(nowMillis, nowMillis);
    }
}
