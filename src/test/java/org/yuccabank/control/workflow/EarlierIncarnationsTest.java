package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.yuccabank.state.workflow.WorkflowFixtures.WORKER;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.assign;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;
import static org.yuccabank.state.workflow.WorkflowFixtures.worker;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/** Tests when the leader ends the runs of an incarnation that was replaced. */
public final class EarlierIncarnationsTest {

    private static final long TERM = 5;
    private static final LeaseBound LEASE = new LeaseBound(9_000, 0.03);
    private static final RunAddress RUN = run("a", 0, 0, 1);
    private static final WorkerIdentity REBORN = worker(WORKER.getWorkerId(), 2_000);

    private WorkflowRecords records;
    private WorkerView view;

    @BeforeMethod
    public void replaceWorker() {
        records = new WorkflowRecords();
        records.apply(accept("a", step(1)), 0);
        records.apply(assign(RUN), 0);
        WorkerReport first = report(WORKER).build();
        view = new WorkerView(first, TERM);
        view.update(first, null, 0, LEASE);
    }

    private static WorkerReport.Builder report(WorkerIdentity worker) {
        return WorkerReport.newBuilder().setWorker(worker).setKnownTerm(TERM);
    }

    private void update(WorkerReport.Builder report) {
        view.update(report.build(), null, 1_000, LEASE);
        view.setEarlierIncarnations(EarlierIncarnations.of(view.worker(), records));
    }

    private Set<RunAddress> endedRuns() {
        return EarlierIncarnations.endedRuns(WORKER, view, records).stream()
                .map(WorkflowTask::run)
                .collect(Collectors.toSet());
    }

    /**
     * Guards against a start that was sent to a worker before it crashed and that the next
     * incarnation under the same identifier carries out beside the next run of the task.
     */
    @Test
    public void shouldKeepRunUntilNextIncarnationHasGivenItUp() {
        update(report(REBORN));
        assertEquals(view.earlierIncarnations(), Set.of(WORKER));
        assertEquals(endedRuns(), Set.of(), "the first report has no list");
        update(report(REBORN).setListed(true));
        assertEquals(endedRuns(), Set.of(), "the start may be carried out after this list");
        update(report(REBORN).setListed(true).addActive(ActiveRun.newBuilder().setRun(RUN)));
        assertEquals(endedRuns(), Set.of(), "the run goes on");
        update(
                report(REBORN)
                        .addEnded(
                                EndedRun.newBuilder()
                                        .setRun(RUN)
                                        .setEnding(RunEnding.RUN_NOT_STARTED)));
        assertEquals(endedRuns(), Set.of(RUN), "the run was stopped and is absent");
    }

    /** Guards against a run that never ends because the next incarnation has lost its end. */
    @Test
    public void shouldEndRunWhoseOutcomeNextIncarnationHasLost() {
        update(report(REBORN).setListed(true).addActive(ActiveRun.newBuilder().setRun(RUN)));
        assertEquals(endedRuns(), Set.of());
        update(
                report(REBORN)
                        .setListed(true)
                        .addEnded(
                                EndedRun.newBuilder()
                                        .setRun(RUN)
                                        .setEnding(RunEnding.RUN_OUTCOME_UNKNOWN)));
        assertEquals(endedRuns(), Set.of(RUN));
    }

    /** Guards against a run that goes on because no one stops it at the next incarnation. */
    @Test
    public void shouldStopRunAtNextIncarnation() {
        update(report(REBORN));
        WorkerDirectives.Builder directives = WorkerDirectives.newBuilder();
        RunDirectives.addTo(directives, view, records, Map.of(), task -> false);
        assertEquals(directives.getStopsList(), List.of(RUN));
    }

    /** Guards against losing the end of a run that the next incarnation has carried out. */
    @Test
    public void shouldRecordEndThatNextIncarnationLists() {
        EndedRun done =
                EndedRun.newBuilder()
                        .setRun(RUN)
                        .setEnding(RunEnding.RUN_DONE)
                        .setNumber(1)
                        .build();
        update(report(REBORN).addEnded(done));
        assertEquals(view.endsToRecord(records), List.of(done));
    }

    /** Guards against a delay for workers with other identifiers, which refuse such a start. */
    @Test
    public void shouldEndRunAtOnceForOtherIdentifier() {
        update(report(worker("worker-2", 2_000)));
        assertEquals(endedRuns(), Set.of(RUN));
    }

    /** Guards against runs that never end because the next incarnation is lost too. */
    @Test
    public void shouldEndRunOnceLeasesOfNextIncarnationHaveExpired() {
        update(report(REBORN));
        long leaseEndMillis = 1_000 + LEASE.maximumMillis();
        assertFalse(view.isEarlierLeaseExpired(leaseEndMillis + 1, LEASE));
        assertTrue(view.isEarlierLeaseExpired(leaseEndMillis + LEASE.maximumMillis() + 1, LEASE));
    }

    /** Guards against one unanswered stop that holds back the other runs of the incarnation. */
    @Test
    public void shouldEndEachRunOnceItIsGivenUp() {
        RunAddress otherRun = run("b", 0, 0, 1);
        records.apply(accept("b", step(1)), 0);
        records.apply(assign(otherRun), 0);
        update(
                report(REBORN)
                        .addEnded(
                                EndedRun.newBuilder()
                                        .setRun(otherRun)
                                        .setEnding(RunEnding.RUN_NOT_STARTED)));
        assertEquals(endedRuns(), Set.of(otherRun));
    }

    /** Guards against a new leader that knows only the next incarnation and waits for less. */
    @Test
    public void shouldAwaitLeasesOfNextIncarnationAfterChangeOfLeader() {
        WorkerReport first = report(REBORN).build();
        view = new WorkerView(first, TERM);
        update(first.toBuilder());
        assertFalse(view.isEarlierLeaseExpired(1_000 + LEASE.maximumMillis() + 1, LEASE));
    }

    /** Guards against losing the evidence of a crash if the next incarnation crashes as well. */
    @Test
    public void shouldKeepCrashOfEarlierIncarnationUntilItsRunsHaveEnded() {
        update(
                report(REBORN)
                        .setCrash(WorkerCrash.newBuilder().setWorker(WORKER).addSuspects(RUN)));
        update(report(REBORN).setCrash(WorkerCrash.newBuilder().setWorker(REBORN)));
        WorkerView.ReportedCrash crash = view.crashOf(WORKER, 9_000).orElseThrow();
        assertEquals(crash.crash().getSuspectsList(), List.of(RUN));
        assertEquals(crash.reportedAtMillis(), 1_000);
    }
}
