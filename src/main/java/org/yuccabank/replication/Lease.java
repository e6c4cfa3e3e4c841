package org.yuccabank.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Heartbeat rounds of a leader and the lease derived from them. The replicas that acknowledged a
 * round do not vote for another leader until the election timeout after the round was sent has
 * passed, so a majority of acknowledgements grants a lease. Not thread-safe.
 */
final class Lease {

    /** Compensates for timestamps that are rounded down to milliseconds at both ends. */
    private static final long ROUNDING_MILLIS = 2;

    private record Round(long number, long sentAtMillis) {}

    private final long durationMillis;
    private final Deque<Round> rounds = new ArrayDeque<>();
    private long currentRound;
    private long lastSentMillis;
    private long confirmedRound;
    private long expiryMillis = Long.MIN_VALUE;
    private boolean revoked;

    Lease(ReplicaTiming timing, boolean driftMargin) {
        int marginPercent = driftMargin ? timing.clockDriftPercent() : 0;
        durationMillis =
                timing.electionTimeoutMillis() * (100 - marginPercent) / 100
                        - ROUNDING_MILLIS
                        - ClockComparison.TOLERANCE_MILLIS;
    }

    void startRound(long nowMillis) {
        currentRound++;
        lastSentMillis = nowMillis;
        rounds.add(new Round(currentRound, nowMillis));
    }

    long currentRound() {
        return currentRound;
    }

    long lastSentMillis() {
        return lastSentMillis;
    }

    long confirmedRound() {
        return confirmedRound;
    }

    /** Records that a majority has acknowledged a round, and extends the lease. */
    void confirmRound(long number) {
        confirmedRound = Math.max(confirmedRound, number);
        while (!rounds.isEmpty() && rounds.peek().number() <= number) {
            expiryMillis = Math.max(expiryMillis, rounds.remove().sentAtMillis() + durationMillis);
        }
    }

    /**
     * Ends the lease until a round that starts after this call is confirmed. Required when the
     * steady clock may have stood still, because the voters' clocks went on.
     */
    void end() {
        rounds.clear();
        expiryMillis = Long.MIN_VALUE;
    }

    /**
     * Revokes the lease for the rest of the term. Required when leadership is transferred, because
     * voters then ignore the lease from a time that this leader does not know.
     */
    void revoke() {
        revoked = true;
    }

    boolean isValid(long nowMillis) {
        return !revoked && nowMillis < expiryMillis;
    }
}
