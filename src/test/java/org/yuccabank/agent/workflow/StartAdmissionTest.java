package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.yuccabank.agent.workflow.StartAdmission.Decision.ADMITTED;
import static org.yuccabank.agent.workflow.StartAdmission.Decision.DEFERRED;
import static org.yuccabank.agent.workflow.StartAdmission.Decision.REFUSED;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.TaskAddress;

/** Tests that no start exceeds the newest capacity of a worker. */
public final class StartAdmissionTest {

    private static RunAddress run(int index) {
        return RunAddress.newBuilder()
                .setTask(TaskAddress.newBuilder().setWorkflowId("a").setIndex(index))
                .setAttempt(1)
                .build();
    }

    /** Creates a run that reserves 4 cores, 400 MiB and 4 accelerators. */
    private static RunEntry entry(int index) {
        return RunEntry.forStart(
                StartRun.newBuilder()
                        .setRun(run(index))
                        .setReservation(
                                ResourceVector.newBuilder()
                                        .setProcessorMillis(4_000)
                                        .setMemoryMebibytes(400)
                                        .setAccelerators(4))
                        .build(),
                false);
    }

    private static StartAdmission.Decision decide(RunEntry other, Resources capacity) {
        RunEntry start = entry(0);
        return StartAdmission.decide(start, List.of(start, other), capacity, true);
    }

    /** Capacities that the two runs exceed in one of the resources. */
    @DataProvider
    public Object[][] exceededCapacities() {
        return new Object[][] {
            {Resources.of(7_999, 800, 8)},
            {Resources.of(8_000, 799, 8)},
            {Resources.of(8_000, 800, 7)}
        };
    }

    /** Guards against a start beside a run that has been told to stop but may still run. */
    @Test(dataProvider = "exceededCapacities")
    public void shouldCountEveryRunThatMayBeOnTheWorker(Resources exceeded) {
        for (RunEntry.Stage stage : RunEntry.Stage.values()) {
            RunEntry other = entry(1);
            other.beginStart();
            other.setStage(stage);
            boolean ended = stage == RunEntry.Stage.ENDED;
            assertEquals(decide(other, exceeded), ended ? ADMITTED : REFUSED, stage.toString());
            assertEquals(decide(other, Resources.of(8_000, 800, 8)), ADMITTED, stage.toString());
        }
    }

    /** Guards against refusing each of two starts because of the other one. */
    @Test
    public void shouldIgnoreStartThatWasNotSent() {
        assertEquals(decide(entry(1), Resources.of(4_000, 400, 4)), ADMITTED);
    }

    /** Guards against a start beside a run that a previous agent process started. */
    @Test
    public void shouldWaitForSizeOfDiscoveredRun() {
        RunEntry discovered = RunEntry.discovered(run(1));
        assertEquals(decide(discovered, Resources.of(16_000, 1_600, 16)), DEFERRED);
        assertEquals(decide(discovered, Resources.of(3_000, 1_600, 16)), REFUSED);
        discovered.setStartRequest(entry(1).startRequest().orElseThrow());
        assertEquals(decide(discovered, Resources.of(16_000, 1_600, 16)), ADMITTED);
    }

    /** Guards against a start on a capacity that may have shrunk long ago. */
    @Test
    public void shouldWaitForCurrentCapacity() {
        RunEntry start = entry(0);
        Resources capacity = Resources.of(4_000, 400, 4);
        assertEquals(StartAdmission.decide(start, List.of(start), capacity, false), DEFERRED);
        assertEquals(StartAdmission.decide(start, List.of(start), capacity, true), ADMITTED);
    }
}
