package org.yuccabank.state.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.yuccabank.state.workflow.WorkflowFixtures.WORKER;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.assign;
import static org.yuccabank.state.workflow.WorkflowFixtures.cancel;
import static org.yuccabank.state.workflow.WorkflowFixtures.end;
import static org.yuccabank.state.workflow.WorkflowFixtures.round;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import com.google.protobuf.ByteString;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.protocol.generated.WorkflowPhase;

/** Tests the invariants of the replicated workflow records. */
public final class WorkflowRecordsTest {

    private static final long NOW = 1_000;

    private WorkflowRecords records;

    @BeforeMethod
    public void createRecords() {
        records = new WorkflowRecords();
    }

    private void apply(WorkflowCommand... commands) {
        for (WorkflowCommand command : commands) {
            records.apply(command, NOW);
        }
    }

    private WorkflowPhase phase(String workflowId) {
        return records.workflow(workflowId).orElseThrow().phase();
    }

    private static WorkflowCommand configuration(long version, String document) {
        return WorkflowCommand.newBuilder()
                .setConfiguration(
                        FleetConfiguration.newBuilder()
                                .setVersion(version)
                                .setDocument(ByteString.copyFromUtf8(document)))
                .build();
    }

    /** Guards against a lost or duplicated workflow after a resent submission. */
    @Test
    public void shouldKeepOneWorkflowHoweverOftenItIsAccepted() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)), accept("a", step(9)));
        assertEquals(records.workflows().size(), 1);
        assertEquals(records.openRuns(WORKER).size(), 1);
        assertEquals(records.workflow("a").orElseThrow().step(0).getTaskCount(), 1);
    }

    /** Guards against an older or equal version that changes the configuration in force. */
    @Test
    public void shouldKeepConfigurationWithHighestVersion() {
        apply(configuration(5, "five"), configuration(4, "four"), configuration(5, "other"));
        FleetConfiguration configuration = records.configuration().orElseThrow();
        assertEquals(configuration.getVersion(), 5);
        assertEquals(configuration.getDocument().toStringUtf8(), "five");
    }

    /** Guards against starting a step before the steps that it depends on are done. */
    @Test
    public void shouldMakeStepReadyOnlyWhenAllDependenciesAreDone() {
        apply(accept("a", step(2), step(1, 0)), assign(run("a", 0, 0, 1), run("a", 0, 1, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_DONE));
        Workflow workflow = records.workflow("a").orElseThrow();
        assertFalse(workflow.isReady(0, 1));
        apply(end(run("a", 0, 1, 1), RunEnding.RUN_DONE));
        assertTrue(workflow.isReady(0, 1));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /** Guards against counting the end of a run twice if it is reported twice. */
    @Test
    public void shouldCountEndOfRunOnce() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_FAILED));
        apply(assign(run("a", 0, 0, 2)), end(run("a", 0, 0, 1), RunEnding.RUN_FAILED));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        apply(end(run("a", 0, 0, 2), RunEnding.RUN_FAILED));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against using up the attempts of a task with ends that it did not cause. */
    @Test
    public void shouldCountOnlyFailuresAsAttempts() {
        apply(accept("a", step(1)));
        for (int attempt = 1; attempt <= 5; attempt++) {
            apply(assign(run("a", 0, 0, attempt)));
            apply(end(run("a", 0, 0, attempt), RunEnding.RUN_WORKER_LOST));
        }
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /**
     * Guards against a job that never ends, or fails, because the worker has lost how a run ended:
     * the task waits again with its checkpoint, and its attempts are left.
     */
    @Test
    public void shouldStartTaskAgainWhoseOutcomeIsUnknown() {
        apply(accept("a", step(1)));
        for (int attempt = 1; attempt <= 5; attempt++) {
            apply(assign(run("a", 0, 0, attempt)));
            EndedRun.Builder unknown =
                    EndedRun.newBuilder()
                            .setRun(run("a", 0, 0, attempt))
                            .setEnding(RunEnding.RUN_OUTCOME_UNKNOWN)
                            .setCheckpoint("saved " + attempt);
            apply(round(SchedulingRound.newBuilder().addEnded(unknown)));
        }
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        Workflow workflow = records.workflow("a").orElseThrow();
        WorkflowTask task = workflow.task(run("a", 0, 0, 1).getTask()).orElseThrow();
        assertTrue(task.isWaiting());
        assertEquals(task.checkpoint(), "saved 5");
        assertTrue(workflow.hasStarted(), "a run whose outcome is unknown has started");
    }

    private static WorkflowCommand doneLate(int attempt, boolean late) {
        return round(
                SchedulingRound.newBuilder()
                        .addEnded(
                                EndedRun.newBuilder()
                                        .setRun(run("a", 0, 0, attempt))
                                        .setNumber(1)
                                        .setEnding(RunEnding.RUN_DONE)
                                        .setLate(late)));
    }

    /** Guards against starting a task again whose run was done, as its worker lists later. */
    @Test
    public void shouldCompleteTaskWhoseRunWasDoneAfterAll() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_WORKER_LOST), doneLate(1, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_COMPLETED);
        assertTrue(records.liveWorkflows().isEmpty());
        apply(assign(run("a", 0, 0, 2)));
        assertTrue(records.openRuns(WORKER).isEmpty());
    }

    /** Guards against another result of a log entry that an earlier release has written. */
    @Test
    public void shouldIgnoreLateEndInEntryOfEarlierRelease() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_WORKER_LOST), doneLate(1, false));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /** Guards against completing a task whose next run is under way, or a final workflow. */
    @Test
    public void shouldIgnoreLateEndOfTaskThatDoesNotWait() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_WORKER_LOST), assign(run("a", 0, 0, 2)));
        apply(doneLate(1, true));
        assertEquals(records.openRuns(WORKER).size(), 1);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        apply(end(run("a", 0, 0, 2), RunEnding.RUN_WORKER_LOST), doneLate(1, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE, "not the latest run");
        apply(cancel("a"), doneLate(2, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_CANCELLED);
    }

    /** Guards against a lasting task that a late end completes, and against half of a gang. */
    @Test
    public void shouldCompleteWholeGangAndNoLastingTaskByLateEnd() {
        apply(accept("a", step(1).setLasting(true)), assign(run("a", 0, 0, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_WORKER_LOST), doneLate(1, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        records = new WorkflowRecords();
        apply(accept("a", step(2).setGang(true)), assign(run("a", 0, 0, 1), run("a", 0, 1, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_WORKER_LOST), doneLate(1, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_COMPLETED);
        apply(end(run("a", 0, 1, 1), RunEnding.RUN_MEMBER_ENDED));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_COMPLETED);
        assertTrue(records.openRuns(WORKER).isEmpty());
    }

    private static WorkflowCommand crash(int attempt, boolean soleSuspect) {
        return round(
                SchedulingRound.newBuilder()
                        .addEnded(
                                EndedRun.newBuilder()
                                        .setRun(run("a", 0, 0, attempt))
                                        .setEnding(RunEnding.RUN_WORKER_CRASHED)
                                        .setSoleSuspect(soleSuspect)));
    }

    /** Guards against a task that crashes its workers and is started again without limit. */
    @Test
    public void shouldFailWorkflowOfTaskThatCrashesItsWorkers() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)), crash(1, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        apply(assign(run("a", 0, 0, 2)), crash(2, false));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
        apply(assign(run("a", 0, 0, 3)));
        assertTrue(records.openRuns(WORKER).isEmpty());
    }

    /** Guards against giving up a task that only ran beside the cause of two crashes. */
    @Test
    public void shouldKeepTaskThatWasNeverTheOnlySuspect() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)), crash(1, false));
        apply(assign(run("a", 0, 0, 2)), crash(2, false));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        apply(assign(run("a", 0, 0, 3)), crash(3, false));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against giving up a task that had not started before one of two crashes. */
    @Test
    public void shouldKeepTaskWhoseStartBeforeCrashIsUncertain() {
        EndedRun.Builder uncertain =
                EndedRun.newBuilder()
                        .setRun(run("a", 0, 0, 1))
                        .setEnding(RunEnding.RUN_WORKER_CRASHED)
                        .setSoleSuspect(true)
                        .setUncertainStart(true);
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)));
        apply(round(SchedulingRound.newBuilder().addEnded(uncertain)));
        apply(assign(run("a", 0, 0, 2)), crash(2, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        apply(assign(run("a", 0, 0, 3)), crash(3, true));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    private void crashOn(String host, int attempt, boolean soleSuspect, int otherCrashes) {
        crashOn(host, attempt, soleSuspect, otherCrashes, false);
    }

    private void crashOn(
            String host, int attempt, boolean soleSuspect, int otherCrashes, boolean inconclusive) {
        WorkerIdentity worker =
                WorkerIdentity.newBuilder()
                        .setWorkerId(host)
                        .setHostId(host)
                        .setBornMillis(attempt)
                        .build();
        EndedRun.Builder ended =
                EndedRun.newBuilder()
                        .setRun(run("a", 0, 0, attempt))
                        .setEnding(RunEnding.RUN_WORKER_CRASHED)
                        .setSoleSuspect(soleSuspect)
                        .setOtherWorkerCrashes(otherCrashes)
                        .setInconclusive(inconclusive);
        Assignment.Builder assigned =
                Assignment.newBuilder().setRun(run("a", 0, 0, attempt)).setWorker(worker);
        apply(round(SchedulingRound.newBuilder().addAssigned(assigned)));
        apply(round(SchedulingRound.newBuilder().addEnded(ended)));
    }

    /** Guards against giving up a task because one worker crashes again and again. */
    @Test
    public void shouldKeepTaskUnderWhichOneWorkerCrashesTwice() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, false, 0);
        crashOn("host-1", 2, true, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        crashOn("host-2", 3, false, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against giving up a task after two crashes of workers that also crash without it. */
    @Test
    public void shouldKeepTaskUnderWhichUnreliableWorkersCrashTwice() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, true, 1);
        crashOn("host-2", 2, true, 3);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        crashOn("host-3", 3, true, 1);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against starting a task again that has crashed two workers that run well without. */
    @Test
    public void shouldFailWorkflowOfTaskThatCrashesTwoReliableWorkers() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, false, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        crashOn("host-2", 2, true, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against giving up a task that started before workers crashed together. */
    @Test
    public void shouldKeepTaskUnderWhichWorkersCrashTogether() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, true, 0, true);
        crashOn("host-2", 2, true, 0, true);
        crashOn("host-3", 3, true, 0, true);
        crashOn("host-4", 4, true, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /** Guards against a culprit that is started for ever where workers crash together. */
    @Test
    public void shouldFailWorkflowOfTaskThatCrashesWorkersAmongOthers() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, true, 0, true);
        crashOn("host-2", 2, true, 2);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        crashOn("host-3", 3, true, 1);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against a culprit that is started for ever because no crash is conclusive. */
    @Test
    public void shouldBoundStartsOfTaskUnderWhichNoCrashIsConclusive() {
        apply(accept("a", step(1)));
        for (int attempt = 1; attempt < 5; attempt++) {
            crashOn("host-" + attempt, attempt, true, 0, true);
            assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        }
        crashOn("host-5", 5, true, 0, true);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against a replica that restores a crash from a snapshot as stronger evidence. */
    @Test
    public void shouldRestoreInconclusiveCrashesFromSnapshot() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, true, 0, true);
        records =
                WorkflowRecords.of(
                        FleetConfiguration.getDefaultInstance(),
                        records.toRecords(),
                        records.learned(),
                        records.toEarlyCancellations());
        crashOn("host-2", 2, true, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /** Guards against counted crashes that a snapshot does not contain. */
    @Test
    public void shouldRestoreCountedCrashesFromSnapshot() {
        apply(accept("a", step(1)));
        crashOn("host-1", 1, true, 0);
        records =
                WorkflowRecords.of(
                        FleetConfiguration.getDefaultInstance(),
                        records.toRecords(),
                        records.learned(),
                        records.toEarlyCancellations());
        crashOn("host-2", 2, false, 0);
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    private static WorkflowCommand failedMember(int index, int attempt) {
        return round(
                SchedulingRound.newBuilder()
                        .addEnded(
                                EndedRun.newBuilder()
                                        .setRun(run("a", 0, index, attempt))
                                        .setEnding(RunEnding.RUN_FAILED)
                                        .setOncePerGangRun(true)));
    }

    /** Guards against a gang that uses up two attempts when two members fail in one run. */
    @Test
    public void shouldCountFailuresOfOneGangRunOnce() {
        apply(accept("a", step(2).setGang(true)), assign(run("a", 0, 0, 1), run("a", 0, 1, 1)));
        apply(failedMember(0, 1), failedMember(1, 1));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
        apply(assign(run("a", 0, 0, 2), run("a", 0, 1, 2)), failedMember(1, 2));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_FAILED);
    }

    /** Guards against adding up crashes between which a run of the task has lasted. */
    @Test
    public void shouldForgetCrashesOnceRunIsStable() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)), crash(1, true));
        EndedRun.Builder lost =
                EndedRun.newBuilder()
                        .setRun(run("a", 0, 0, 2))
                        .setEnding(RunEnding.RUN_WORKER_LOST)
                        .setStable(true);
        apply(assign(run("a", 0, 0, 2)), round(SchedulingRound.newBuilder().addEnded(lost)));
        apply(assign(run("a", 0, 0, 3)), crash(3, false));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /** Guards against starting a task after the cancellation was acknowledged. */
    @Test
    public void shouldOpenNoRunOfCancelledWorkflow() {
        apply(accept("a", step(1)), cancel("a"), assign(run("a", 0, 0, 1)));
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_CANCELLED);
        assertTrue(records.openRuns(WORKER).isEmpty());
    }

    /** Guards against accepting a workflow whose cancellation has overtaken its submission. */
    @Test
    public void shouldNotAcceptWorkflowThatWasCancelledEarly() {
        apply(cancel("a"), accept("a", step(1)));
        assertTrue(records.workflow("a").isEmpty());
        assertTrue(records.liveWorkflows().isEmpty());
    }

    /** Guards against records of unknown workflows that fill the memory of the replicas. */
    @Test
    public void shouldBoundEarlyCancellations() {
        for (int number = 0; number <= EarlyCancellations.MAXIMUM_COUNT; number++) {
            apply(cancel("unknown " + number));
        }
        assertEquals(records.toEarlyCancellations().size(), EarlyCancellations.MAXIMUM_COUNT);
        assertFalse(records.isCancelledEarly("unknown 0", NOW));
        assertTrue(records.isCancelledEarly("unknown 1", NOW));
        long later = NOW + EarlyCancellations.RETENTION_MILLIS + 1;
        assertFalse(records.isCancelledEarly("unknown 1", later));
        records.apply(cancel("later"), later);
        assertEquals(records.toEarlyCancellations().size(), 1);
    }

    /** Guards against taking an assignment that did not lead to a start for the start of a task. */
    @Test
    public void shouldCountOnlyRunsThatStarted() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_NOT_STARTED), assign(run("a", 0, 0, 2)));
        apply(end(run("a", 0, 0, 2), RunEnding.RUN_WORKER_LOST), assign(run("a", 0, 0, 3)));
        assertFalse(records.workflow("a").orElseThrow().hasStarted());
        apply(end(run("a", 0, 0, 3), RunEnding.RUN_STOPPED));
        assertTrue(records.workflow("a").orElseThrow().hasStarted());
        WorkflowRecords restored =
                WorkflowRecords.of(
                        FleetConfiguration.getDefaultInstance(),
                        records.toRecords(),
                        records.learned(),
                        records.toEarlyCancellations());
        assertTrue(restored.workflow("a").orElseThrow().hasStarted());
    }

    /** Guards against two runs of one task at a time. */
    @Test
    public void shouldNotAssignTaskThatRuns() {
        apply(accept("a", step(1)), assign(run("a", 0, 0, 1)), assign(run("a", 0, 0, 2)));
        assertTrue(records.openRun(run("a", 0, 0, 1)).isPresent());
        assertTrue(records.openRun(run("a", 0, 0, 2)).isEmpty());
    }

    /** Guards against abandoning a lasting task after a few failures. */
    @Test
    public void shouldRestartLastingTaskHoweverOftenItFails() {
        apply(accept("a", step(1).setLasting(true)));
        for (int attempt = 1; attempt <= 5; attempt++) {
            apply(assign(run("a", 0, 0, attempt)));
            apply(end(run("a", 0, 0, attempt), RunEnding.RUN_FAILED));
        }
        assertEquals(phase("a"), WorkflowPhase.WORKFLOW_ACTIVE);
    }

    /**
     * Guards against state that a snapshot does not contain, so that a restored replica differs.
     */
    @Test
    public void shouldRestoreEverythingFromSnapshot() {
        apply(configuration(3, "three"), accept("a", step(2), step(1, 0)));
        apply(assign(run("a", 0, 0, 1), run("a", 0, 1, 1)));
        apply(end(run("a", 0, 0, 1), RunEnding.RUN_DONE));
        apply(end(run("a", 0, 1, 1), RunEnding.RUN_WORKER_CRASHED));
        apply(assign(run("a", 0, 1, 2)), cancel("unknown"));
        WorkflowRecords restored =
                WorkflowRecords.of(
                        records.configuration().orElseThrow(),
                        records.toRecords(),
                        records.learned(),
                        records.toEarlyCancellations());
        assertEquals(restored.toRecords(), records.toRecords());
        assertEquals(restored.toEarlyCancellations(), records.toEarlyCancellations());
        assertEquals(restored.toEarlyCancellations().size(), 1);
        assertEquals(restored.configuration(), records.configuration());
        assertEquals(restored.openRuns(WORKER).size(), 1);
        assertEquals(restored.openRun(run("a", 0, 1, 2)).orElseThrow().crashes(), 1);
        restored.apply(end(run("a", 0, 1, 2), RunEnding.RUN_DONE), 2_000);
        assertTrue(restored.workflow("a").orElseThrow().isReady(0, 1));
    }

    /**
     * Guards against a gang that is never completed because the end of one member was lost with its
     * worker.
     */
    @Test
    public void shouldCompleteGangByEndOfOneMember() {
        WorkflowRecords gangs = new WorkflowRecords();
        gangs.apply(accept("a", step(3).setGang(true), step(1, 0)), 1);
        gangs.apply(assign(run("a", 0, 0, 1), run("a", 0, 1, 1), run("a", 0, 2, 1)), 2);
        gangs.apply(end(run("a", 0, 1, 1), RunEnding.RUN_DONE), 3);
        Workflow workflow = gangs.workflow("a").orElseThrow();
        assertTrue(workflow.isReady(0, 1), "the next step may start");
        gangs.apply(end(run("a", 0, 0, 1), RunEnding.RUN_WORKER_LOST), 4);
        gangs.apply(end(run("a", 0, 2, 1), RunEnding.RUN_DONE), 5);
        assertTrue(workflow.tasks(0, 0).stream().noneMatch(WorkflowTask::isWaiting));
        gangs.apply(assign(run("a", 1, 0, 1)), 6);
        gangs.apply(end(run("a", 1, 0, 1), RunEnding.RUN_DONE), 7);
        assertEquals(workflow.phase(), WorkflowPhase.WORKFLOW_COMPLETED);
    }
}
