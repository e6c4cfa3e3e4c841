package org.yuccabank.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests which requests are kept in the log. */
public final class RequestLineBudgetTest {

    private static final long RATE = 150;
    private static final long BURST = 6_000;

    private static long keptTasks(int tasksEach, long everyMillis, long untilMillis) {
        RequestLineBudget budget = RequestLineBudget.of(RATE, BURST, 0);
        long kept = 0;
        for (long now = 0; now < untilMillis; now += everyMillis) {
            kept += budget.decide(tasksEach, now) == RequestLines.KEPT ? tasksEach : 0;
        }
        return kept;
    }

    /** Guards against lines of a small site, 10 workflows of 10 tasks a second, being left out. */
    @Test
    public void shouldKeepAllOfSmallSite() {
        assertEquals(keptTasks(10, 100, 600_000), 60_000);
    }

    /** Guards against lines without a bound at ten times the rate. */
    @Test
    public void shouldKeepToRateUnderOverload() {
        long kept = keptTasks(10, 6, 600_000);
        assertTrue(kept <= RATE * 600 + 2 * BURST, "kept " + kept);
        assertTrue(kept >= RATE * 600, "kept " + kept);
    }

    /** Guards against one huge workflow that leaves out all others for minutes. */
    @Test
    public void shouldRecoverFromHugeRequest() {
        RequestLineBudget budget = RequestLineBudget.of(RATE, BURST, 0);
        budget.decide(1, 0);
        assertEquals(budget.decide(20_000, 0), RequestLines.KEPT);
        assertEquals(budget.decide(1, 0), RequestLines.OMITTED);
        assertEquals(budget.decide(1, 1_000), RequestLines.KEPT);
    }
}
