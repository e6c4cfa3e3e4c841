package org.yuccabank.replication;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Rounds of heartbeats of one leader, and the lease that follows from them. When a majority has
 * acknowledged a round, none of it votes for another leader until the election timeout after the
 * round was sent. Not thread-safe.
 */
final class Lease {

    /** Both ends of an interval are rounded down to a millisecond. */
    private static final long ROUNDING_MILLIS = 2;

    private record Round(long number, long sentAtMillis) {}

    private final long durationMillis;
    private final Deque<Round> rounds = new ArrayDeque<>();
    private long round;
    private long lastSentMillis;
    private long confirmedRound;
    private long expiryMillis = Long.MIN_VALUE;
    private boolean revoked;

    Lease(ReplicaTiming timing, boolean driftMargin) {
        int marginPercent = driftMargin ? timing.clockDriftPercent() : 0;
        durationMillis =
                timing.electionTimeoutMillis() * (100 - marginPercent) / 100 - ROUNDING_MILLIS;
    }

    /** Starts a round. */
    void startRound(long nowMillis) {
        round++;
        lastSentMillis = nowMillis;
        rounds.add(new Round(round, nowMillis));
    }

    long round() {
        return round;
    }

    long lastSentMillis() {
        return lastSentMillis;
    }

    long confirmedRound() {
        return confirmedRound;
    }

    /** Records that a majority has acknowledged a round. */
    void confirmRound(long number) {
        confirmedRound = Math.max(confirmedRound, number);
        while (!rounds.isEmpty() && rounds.peek().number() <= number) {
            expiryMillis = Math.max(expiryMillis, rounds.remove().sentAtMillis() + durationMillis);
        }
    }

    /**
     * Gives up the lease for the rest of the term. Needed when leadership is offered to another
     * replica, because voters then disregard the lease, at a time this leader does not know.
     */
    void revoke() {
        revoked = true;
    }

    boolean isValid(long nowMillis) {
        return !revoked && nowMillis < expiryMillis;
    }
}
