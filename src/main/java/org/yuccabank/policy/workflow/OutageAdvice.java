package org.yuccabank.policy.workflow;

/**
 * Tells callers when to come back while no leader is known. Answers the outage of all control
 * hosts: a caller with few tries left has to outlast it, and one of an election should lose no
 * time. Has no state.
 */
public final class OutageAdvice {

    /** About one election, the shortest outage. */
    private static final long LEAST_MILLIS = 800;

    /** Callers must not stay away long after a short outage that followed a long one. */
    private static final long MOST_MILLIS = 4_000;

    /** Callers are spread over this part of the time, so that they do not come back at once. */
    private static final double SPREAD_SHARE = 0.2;

    private OutageAdvice() {}

    /**
     * When to come back. An outage is expected to last as long again as it has lasted so far.
     *
     * @param outageMillis how long no leader has answered
     * @param position place of the caller in the spread, 0 to 1
     * @return milliseconds from now
     */
    public static long comeBackMillis(long outageMillis, double position) {
        long expected = Math.max(LEAST_MILLIS, Math.min(MOST_MILLIS, outageMillis));
        return Math.round(expected * (1 + SPREAD_SHARE * position));
    }
}
