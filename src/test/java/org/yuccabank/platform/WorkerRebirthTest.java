package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what happens to tasks if their minion starts again under its identifier and takes calls
 * that were meant for its former lifetime.
 */
public final class WorkerRebirthTest extends PlatformPath {

    private long born = 1_000;

    /** Announces the minion. */
    @BeforeMethod
    public void announce() throws Exception {
        sendHeartbeat(born);
    }

    /** Starts the leader again if the test has stopped it. */
    @AfterMethod(alwaysRun = true)
    public void restoreLeader() throws Exception {
        if (control == null) {
            startControl();
        }
    }

    private void stopLeader() {
        control.stop();
        control = null;
    }

    /** Runs a task whose first start call is not answered and may be carried out later. */
    private JsonFields runAfterDroppedStart(String workflowId) throws Exception {
        minion.dropNextStart();
        submit(workflowId, 500);
        awaitState(workflowId, "completed");
        assertEquals(startCount(workflowId), 1);
        return minion.droppedStart();
    }

    /**
     * Guards against ends of the next incarnation that are discarded unseen, because the number of
     * an end of the former one is acknowledged over a connection that has outlived it.
     */
    @Test
    public void shouldNotAcknowledgeEndsOverConnectionThatOutlivesIncarnation() throws Exception {
        acknowledgeEnds("c1c1c1c1", 3);
        announcement = "";
        minion.restartAfterNextEnds(++born);
        submit("c2c2c2c2c2c2c2c2", 500);
        awaitState("c2c2c2c2c2c2c2c2", "completed");
        Thread.sleep(700);
        sendHeartbeat(born);
        submit("c3c3c3c3c3c3c3c3", 500);
        awaitState("c3c3c3c3c3c3c3c3", "completed");
        assertEquals(startCount("c3c3c3c3c3c3c3c3"), 1);
    }

    /**
     * Guards against tasks that are done and start again, because the next incarnation has taken an
     * acknowledgement that was under way when the former one ended, and discards ends unseen.
     */
    @Test
    public void shouldNotRepeatTasksOfWorkerThatMayDiscardEnds() throws Exception {
        acknowledgeEnds("c6c6c6c6", 3);
        announcement = "";
        minion.restartAfterLists(++born, 2);
        submit("c7c7c7c7c7c7c7c7", 500);
        awaitState("c7c7c7c7c7c7c7c7", "completed");
        Thread.sleep(700);
        sendHeartbeat(born);
        submit("c8c8c8c8c8c8c8c8", 500);
        awaitState("c8c8c8c8c8c8c8c8", "completed");
        long done = minion.done().stream().filter(each -> each.startsWith("c8c8")).count();
        assertEquals(done, 1);
    }

    /**
     * Guards against a task that is done and starts again, because a start that was not answered is
     * carried out by the next incarnation while the agent is cut off from the leader.
     */
    @Test
    public void shouldFenceStartsForFormerIncarnationWithoutLeader() throws Exception {
        JsonFields late = runAfterDroppedStart("c4c4c4c4c4c4c4c4");
        stopLeader();
        minion.restartProcess(++born);
        sendHeartbeat(born);
        await(() -> minion.listCount() > 1 ? 1 : 0, 1);
        minion.deliverStart(late);
        assertEquals(startCount("c4c4c4c4c4c4c4c4"), 1);
    }

    /**
     * Guards against a run that the next incarnation has started on a call for the former one, and
     * that is stopped only once the leader can be reached.
     */
    @Test
    public void shouldStopRunOfFormerIncarnationWithoutLeader() throws Exception {
        JsonFields late = runAfterDroppedStart("c5c5c5c5c5c5c5c5");
        stopLeader();
        minion.restartProcess(
                ++born,
                () -> {
                    minion.disableCompletion();
                    minion.deliverStart(late);
                });
        assertEquals(startCount("c5c5c5c5c5c5c5c5"), 2, "carried out by the next incarnation");
        sendHeartbeat(born);
        await(() -> minion.isRunning("c5c5c5c5c5c5c5c5.0.0.0#1") ? 1 : 0, 0);
    }
}
