package org.yuccabank.policy.workflow;

/**
 * Computes the retry delay for callers while no leader is known. With this delay, callers with few
 * attempts outlast an outage of all control hosts, and callers during an election lose little time.
 * Stateless.
 */
public final class OutageBackoff {

    /** About the duration of an election, the shortest outage. */
    private static final long MINIMUM_DELAY_MILLIS = 800;

    /**
     * Limits how long callers wait after a leader is back, for example in a short outage that
     * follows a long one.
     */
    private static final long MAXIMUM_DELAY_MILLIS = 4_000;

    /** Maximum jitter as a share of the delay, so that callers do not retry at the same moment. */
    private static final double JITTER_SHARE = 0.2;

    private OutageBackoff() {}

    /**
     * Returns the delay before the next attempt. The remaining outage is expected to last as long
     * as the outage has lasted so far.
     *
     * @param outageMillis time since a leader last answered
     * @param jitter random share of the maximum jitter, 0 to 1
     * @return the delay in milliseconds
     */
    public static long retryAfterMillis(long outageMillis, double jitter) {
        long expectedMillis =
                Math.max(MINIMUM_DELAY_MILLIS, Math.min(MAXIMUM_DELAY_MILLIS, outageMillis));
        return Math.round(expectedMillis * (1 + JITTER_SHARE * jitter));
    }
}
