package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests which crashes the leader records as evidence against a task. */
public final class CrashSuspectsTest {

    private static final WorkerIdentity WORKER =
            WorkerIdentity.newBuilder().setHostId("host-1").setWorkerId("worker-1").build();
    private static final RunAddress RUN =
            RunAddress.newBuilder()
                    .setTask(TaskAddress.newBuilder().setWorkflowId("a"))
                    .setAttempt(1)
                    .build();

    private static List<Boolean> inconclusive(boolean proven) {
        WorkflowRecords records = new WorkflowRecords();
        records.apply(accept("a", step(1)), 1_000);
        records.apply(
                WorkflowCommand.newBuilder()
                        .setRound(
                                SchedulingRound.newBuilder()
                                        .addAssigned(
                                                Assignment.newBuilder()
                                                        .setRun(RUN)
                                                        .setWorker(WORKER)))
                        .build(),
                1_000);
        WorkerCrash crash = WorkerCrash.newBuilder().setWorker(WORKER).addSuspects(RUN).build();
        return CrashSuspects.endsOf(
                        records.openRuns(WORKER),
                        Optional.of(new WorkerView.ReportedCrash(crash, 2_000, proven)),
                        new WorkerCrashHistory(),
                        "the lease is over",
                        run -> "")
                .stream()
                .map(EndedRun::getInconclusive)
                .toList();
    }

    /**
     * Guards against a new leader that gives a task up, because it does not know of the earlier
     * crashes of a worker that crashes on its own.
     */
    @Test
    public void shouldCountCrashesThatFormerLeadersHaveSeen() {
        CrashCounters crashes = new CrashCounters();
        WorkerIdentity former = WORKER.toBuilder().setBornMillis(1).build();
        WorkerIdentity current = WORKER.toBuilder().setBornMillis(2).build();
        WorkerReport report =
                WorkerReport.newBuilder()
                        .setWorker(current)
                        .addEarlierCrashes(
                                WorkerCrash.newBuilder().setWorker(former).setAgeMillis(9_000))
                        .build();
        crashes.recordReport(report, new WorkflowRecords(), 10_000);
        assertEquals(crashes.history().crashesWithout(current, "a"), 1);
    }

    /** Guards against accusing a task because its worker is cut off shortly after its start. */
    @Test
    public void shouldTakeSilenceOfWorkerForNoEvidenceUntilItIsBornAgain() {
        assertEquals(inconclusive(false), List.of(true));
        assertEquals(inconclusive(true), List.of(false));
    }
}
