package org.yuccabank.policy.workflow;

/**
 * Tells callers when to come back while no leader is known. Answers the outage of all control
 * hosts: a caller with few tries left has to outlast it, and one of an election should lose no
 * time. Has no state.
 */
public final class OutageBackoff {

    /** About one election, the shortest outage. */
    private static final long MIN_DELAY_MILLIS = 800;

    /** Callers must not stay away long after a short outage that followed a long one. */
    private static final long MAX_DELAY_MILLIS = 4_000;

    /** Callers are spread over this part of the time, so that they do not come back at once. */
    private static final double JITTER_SHARE = 0.2;

    private OutageBackoff() {}

    /**
     * When to come back. An outage is expected to last as long again as it has lasted so far.
     *
     * @param outageMillis how long no leader has answered
     * @param jitter place of the caller in the spread, 0 to 1
     * @return milliseconds from now
     */
    public static long comeBackMillis(long outageMillis, double jitter) {
        long expectedMillis = Math.max(MIN_DELAY_MILLIS, Math.min(MAX_DELAY_MILLIS, outageMillis));
        return Math.round(expectedMillis * (1 + JITTER_SHARE * jitter));
    }
}
