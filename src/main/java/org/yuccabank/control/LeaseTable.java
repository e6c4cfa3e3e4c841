package org.yuccabank.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Records when each lease was last renewed, by the clock of this leader.
 *
 * <p>A new leader does not know the renewals of its predecessor, so it treats every lease as
 * renewed at the start of its own leadership. Confined to the replica thread.
 */
final class LeaseTable {

    /**
     * Added to each lease for the delay between the renewal here and the end of the task on the
     * worker.
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
     * @param clockDriftFraction maximum relative difference between the rates of two clocks, 0.1
     *     for 10%
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
     * Returns whether the task under a lease is guaranteed to have ended.
     *
     * @param fencingToken token of the lease
     * @param leaseMillis duration of the lease
     * @param nowMillis current time
     * @return true if the lease has expired, including clock drift and the margin
     */
    boolean isExpired(long fencingToken, long leaseMillis, long nowMillis) {
        long renewedMillis = renewedAtMillis.getOrDefault(fencingToken, leaderSinceMillis);
        long timeoutMillis =
                (long) Math.ceil(leaseMillis * (1 + clockDriftFraction)) + EXPIRY_MARGIN_MILLIS;
        return nowMillis - renewedMillis > timeoutMillis;
    }
}
