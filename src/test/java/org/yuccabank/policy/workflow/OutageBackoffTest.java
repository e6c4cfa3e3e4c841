package org.yuccabank.policy.workflow;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the retry delays during an outage of the leader. */
public final class OutageBackoffTest {

    private static final int MAXIMUM_ATTEMPTS = 5;

    /**
     * Guards against callers that use up their attempts before an outage of all control hosts ends.
     */
    @Test
    public void shouldOutlastSixSecondOutageWithFiveAttempts() {
        for (long firstTry = 0; firstTry < 6_000; firstTry += 250) {
            long now = firstTry;
            for (int retry = 1; retry < MAXIMUM_ATTEMPTS && now < 6_000; retry++) {
                now += OutageBackoff.retryAfterMillis(now, 0);
            }
            assertTrue(now >= 6_000, "gave up at " + now + " after a first attempt at " + firstTry);
        }
    }

    /** Guards against a delay that is much longer than an election. */
    @Test
    public void shouldRetrySoonAfterElection() {
        assertTrue(OutageBackoff.retryAfterMillis(300, 1) < 1_000);
    }

    /** Guards against callers that all retry at the same moment. */
    @Test
    public void shouldSpreadRetries() {
        long first = OutageBackoff.retryAfterMillis(3_000, 0);
        long last = OutageBackoff.retryAfterMillis(3_000, 1);
        assertTrue(last - first >= 500, (last - first) + " ms");
    }
}
