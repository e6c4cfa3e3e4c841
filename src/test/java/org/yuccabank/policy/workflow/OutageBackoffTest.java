package org.yuccabank.policy.workflow;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Holds when callers are told to come back. */
public final class OutageBackoffTest {

    private static final int MAX_ATTEMPTS = 5;

    /** Guards against callers who use up their tries before an outage of control hosts ends. */
    @Test
    public void shouldOutlastSixSecondOutageWithFiveAttempts() {
        for (long firstTry = 0; firstTry < 6_000; firstTry += 250) {
            long now = firstTry;
            for (int retry = 1; retry < MAX_ATTEMPTS && now < 6_000; retry++) {
                now += OutageBackoff.comeBackMillis(now, 0);
            }
            assertTrue(now >= 6_000, "given up at " + now + " after a first try at " + firstTry);
        }
    }

    /** Guards against an urgent caller who is sent away for longer than an election takes. */
    @Test
    public void shouldRetrySoonAfterElection() {
        assertTrue(OutageBackoff.comeBackMillis(300, 1) < 1_000);
    }

    /** Guards against callers who all come back at the same moment. */
    @Test
    public void shouldSpreadRetries() {
        long first = OutageBackoff.comeBackMillis(3_000, 0);
        long last = OutageBackoff.comeBackMillis(3_000, 1);
        assertTrue(last - first >= 500, (last - first) + " ms");
    }
}
