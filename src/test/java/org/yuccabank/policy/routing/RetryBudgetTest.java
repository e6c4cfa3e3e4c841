package org.yuccabank.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests the limit on extra attempts. */
public final class RetryBudgetTest {

    /** Guards against retries that amplify load, also after gaps, bursts and idle windows. */
    @Test
    public void shouldGrantAtMostTenPercentOverWholeRun() {
        SplittableRandom random = new SplittableRandom(7);
        RetryBudget budget = RetryBudget.ofPercent(RetryBudget.RETRY_PERCENT);
        long now = 0;
        long requests = 0;
        long retries = 0;
        for (int step = 0; step < 100_000; step++) {
            now += random.nextInt(1000) == 0 ? random.nextInt(30_000) : random.nextInt(5);
            if (random.nextInt(3) == 0) {
                budget.requestStarted(now);
                requests++;
            } else if (budget.tryAcquire(now)) {
                retries++;
            }
            assertTrue(retries * 10 <= requests, retries + " of " + requests);
        }
        assertTrue(retries * 11 >= requests, "the budget must be usable: " + retries);
    }

    /** Guards against a budget accumulated from old requests that allows a later burst. */
    @Test
    public void shouldIgnoreRequestsOlderThanWindow() {
        RetryBudget budget = RetryBudget.ofPercent(10);
        for (int request = 0; request < 1000; request++) {
            budget.requestStarted(0);
        }
        assertTrue(budget.tryAcquire(9_999));
        assertEquals(budget.tryAcquire(10_000), false);
    }
}
