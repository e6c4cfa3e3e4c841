package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what happens to a task whose end arrives after the leader has given its run up. */
public final class LateEndTest extends PlatformPath {

    /** Longer than the longest lease that the leader allows for. */
    private static final long LEASE_OVER_MILLIS = 12_000;

    /** Announces the minion. */
    @BeforeMethod
    public void announce() throws Exception {
        sendHeartbeat();
    }

    /**
     * Guards against a task that is done and starts again, because its lease was over when the
     * leader learned of its end.
     */
    @Test
    public void shouldNotStartTaskAgainWhoseEndArrivesAfterItsLease() throws Exception {
        String workflowId = "d1d1d1d1d1d1d1d1";
        minion.disableCompletion();
        submit(workflowId, 500);
        await(() -> minion.isRunning(workflowId + ".0.0.0#1") ? 1 : 0, 1);
        agent.stop();
        // The run ends while its lease lasts, and nobody lists its end.
        minion.enableCompletion();
        Thread.sleep(LEASE_OVER_MILLIS);
        agent = AgentRole.start(workerSettings);
        awaitState(workflowId, "completed");
        assertEquals(startCount(workflowId), 1);
        await(() -> minion.latestAcknowledgement() != null ? 1 : 0, 1);
    }
}
