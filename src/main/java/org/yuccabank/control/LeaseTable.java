package org.yuccabank.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Records when each lease was last renewed, by a clock of this leader that steps of the time of day
 * do not change. A suspension of the leader's host only lengthens the leases that it assumes.
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
    private final LongSupplier steadyClock;
    private long leaderSinceMillis;

    private LeaseTable(double clockDriftFraction, LongSupplier steadyClock) {
        this.steadyClock = steadyClock;
        this.clockDriftFraction = clockDriftFraction;
    }

    /**
     * Creates an empty table.
     *
     * @param clockDriftFraction maximum relative difference between the rates of two clocks, 0.1
     *     for 10%
     * @param steadyClock supplies the time of a monotonic clock in milliseconds
     * @return the table
     */
    static LeaseTable of(double clockDriftFraction, LongSupplier steadyClock) {
        return new LeaseTable(clockDriftFraction, steadyClock);
    }

    void startLeadership() {
        renewedAtMillis.clear();
        leaderSinceMillis = steadyClock.getAsLong();
    }

    void renew(long fencingToken) {
        renewedAtMillis.put(fencingToken, steadyClock.getAsLong());
    }

    void remove(long fencingToken) {
        renewedAtMillis.remove(fencingToken);
    }

    /**
     * Returns whether the task under a lease is guaranteed to have ended.
     *
     * @param fencingToken token of the lease
     * @param leaseMillis duration of the lease
     * @return true if the lease has expired, including clock drift and the margin
     */
    boolean isExpired(long fencingToken, long leaseMillis) {
        long renewedMillis = renewedAtMillis.getOrDefault(fencingToken, leaderSinceMillis);
        long timeoutMillis =
                (long) Math.ceil(leaseMillis * (1 + clockDriftFraction)) + EXPIRY_MARGIN_MILLIS;
        return steadyClock.getAsLong() - renewedMillis > timeoutMillis;
    }
}
