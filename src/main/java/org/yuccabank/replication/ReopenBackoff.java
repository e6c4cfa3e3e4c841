package org.yuccabank.replication;

/**
 * Decides when a replica that has stopped because of a failure is opened again. The delay doubles
 * with each failure, up to a maximum, and is reset once the replica has run for a while. Not
 * thread-safe; times are in milliseconds of a monotonic clock.
 */
final class ReopenBackoff {

    private static final long INITIAL_DELAY_MILLIS = 100;

    /** Bounds the time for which a replica is missing after its disk works again. */
    static final long MAXIMUM_DELAY_MILLIS = 1_000;

    /** Time without a failure after which the delay is reset. */
    private static final long RESET_MILLIS = 10_000;

    private long delayMillis = INITIAL_DELAY_MILLIS;
    private long dueMillis = Long.MIN_VALUE;

    /** Records a failure, which postpones the next attempt. */
    void recordFailure(long nowMillis) {
        boolean first = dueMillis == Long.MIN_VALUE || nowMillis - dueMillis > RESET_MILLIS;
        delayMillis =
                first ? INITIAL_DELAY_MILLIS : Math.min(MAXIMUM_DELAY_MILLIS, 2 * delayMillis);
        dueMillis = nowMillis + delayMillis;
    }

    /** Returns whether the next attempt is due. */
    boolean isDue(long nowMillis) {
        return nowMillis >= dueMillis;
    }
}
