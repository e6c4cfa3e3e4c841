package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.policy.workflow.RunTimes;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.LearnedState;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests that a leader continues with what its predecessors have learned. */
public final class LearnedStateKeeperTest {

    private static final long TERM = 3;

    private PressureEstimates pressures;
    private RunTimes runTimes;
    private LearnedStateKeeper keeper;

    @BeforeMethod
    public void createKeeper() {
        pressures = new PressureEstimates();
        runTimes = new RunTimes();
        keeper = new LearnedStateKeeper(pressures, runTimes);
    }

    private LearnedState learn() {
        for (int report = 0; report < 20; report++) {
            double fillers = report % 2;
            long latencyMillis = fillers == 0 ? 8 : 16;
            pressures.observe(
                    Map.of(
                            "web step",
                            List.of(new PressureEstimates.ServingSample("web", latencyMillis, 18))),
                    Map.of("heavy", fillers),
                    600L * report);
        }
        for (int step = 0; step < 20; step++) {
            runTimes.recordRunTime("step " + step, "queue", 4_000, 1_000, 1);
        }
        return keeper.dueRecord(TERM, 20_000).orElseThrow();
    }

    /**
     * Guards against a fleet that learns pressures and run times anew after a loss of power: every
     * process forgets them, and only the log and its snapshots remain.
     */
    @Test
    public void shouldContinueWithRecordedStateAfterRestart() {
        WorkflowRecords records = new WorkflowRecords();
        records.apply(WorkflowCommand.newBuilder().setLearned(learn()).build(), 0);
        WorkflowRecords restarted =
                WorkflowRecords.of(
                        FleetConfiguration.getDefaultInstance(),
                        List.of(),
                        records.learned(),
                        List.of());
        PressureEstimates laterPressures = new PressureEstimates();
        RunTimes laterRunTimes = new RunTimes();
        new LearnedStateKeeper(laterPressures, laterRunTimes)
                .restore(restarted.learned(), TERM + 1);
        assertEquals(
                laterPressures.pressure("web", "heavy"), pressures.pressure("web", "heavy"), 0.05);
        assertTrue(pressures.pressure("web", "heavy") > 0.3, "the pressure was learned");
        assertEquals(
                laterRunTimes.expectedMillis("queue", "new", 1_000),
                runTimes.expectedMillis("queue", "new", 1_000),
                1.0);
    }

    /** Guards against a leader that overwrites its own estimates with an older record of them. */
    @Test
    public void shouldNotRestoreOwnRecord() {
        LearnedState recorded = learn();
        pressures.restore(
                new PressureEstimates.ImagePair("web", "heavy"),
                new PressureEstimates.Estimate(0.9, 0.003));
        keeper.restore(recorded, TERM);
        assertTrue(pressures.pressure("web", "heavy") > 0.9);
    }

    /** Guards against a log that grows while nothing is learned, and against frequent records. */
    @Test
    public void shouldRecordOnlyChangesAtIntervals() {
        assertEquals(keeper.dueRecord(TERM, 0), Optional.empty());
        LearnedState first = learn();
        assertEquals(first.getPressuresCount(), 1);
        runTimes.recordRunTime("another step", "queue", 4_000, 2_000, 1);
        assertEquals(keeper.dueRecord(TERM, 21_000), Optional.empty());
        assertTrue(keeper.dueRecord(TERM, 25_000).isPresent());
        assertEquals(keeper.dueRecord(TERM, 30_000), Optional.empty());
    }
}
