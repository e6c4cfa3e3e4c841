package org.yuccabank.control;

import java.util.HashMap;
import java.util.Map;

/**
 * When each lease was last renewed, by the clock of this leader.
 *
 * <p>A new leader does not know when its predecessor renewed, so it counts every lease from the
 * start of its own leadership. Confined to the thread of the replica.
 */
final class LeaseTable {

    /**
     * Added to each lease for the time between the renewal and the end of the task at the worker.
     */
    static final long EXPIRY_MARGIN_MILLIS = 1_000;

    private final double clockDriftFraction;
    private final Map<Long, Long> renewedAtMillis = new HashMap<>();
    private long leaderSinceMillis;

    private LeaseTable(double clockDriftFraction) {
        this.clockDriftFraction = clockDriftFraction;
    }

    /**
     * Creates an empty table.
     *
     * @param clockDriftFraction greatest difference of two clock rates, 0.1 for 10 %
     * @return the table
     */
    static LeaseTable of(double clockDriftFraction) {
        return new LeaseTable(clockDriftFraction);
    }

    void startLeadership(long nowMillis) {
        renewedAtMillis.clear();
        leaderSinceMillis = nowMillis;
    }

    void renew(long fencingToken, long nowMillis) {
        renewedAtMillis.put(fencingToken, nowMillis);
    }

    void remove(long fencingToken) {
        renewedAtMillis.remove(fencingToken);
    }

    /**
     * Tells whether the task under a lease has surely ended.
     *
     * @param fencingToken token of the lease
     * @param leaseMillis duration of the lease
     * @param nowMillis present time
     * @return true if the lease ended with the margin for clocks
     */
    boolean isExpired(long fencingToken, long leaseMillis, long nowMillis) {
        long renewedMillis = renewedAtMillis.getOrDefault(fencingToken, leaderSinceMillis);
        long timeoutMillis =
                (long) Math.ceil(leaseMillis * (1 + clockDriftFraction)) + EXPIRY_MARGIN_MILLIS;
        return nowMillis - renewedMillis > timeoutMillis;
    }
}
