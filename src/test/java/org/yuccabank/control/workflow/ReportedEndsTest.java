package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.end;
import static org.yuccabank.state.workflow.WorkflowFixtures.round;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests which reported ends of a run the leader records. */
public final class ReportedEndsTest {

    private static final long TERM = 5;
    private static final LeaseBound LEASE = new LeaseBound(9_000, 0.03);
    private static final RunAddress RUN = run("a", 0, 0, 1);
    private static final WorkerIdentity WORKER = identity("host");
    private static final EndedRun NOT_STARTED =
            EndedRun.newBuilder().setRun(RUN).setEnding(RunEnding.RUN_NOT_STARTED).build();
    private static final EndedRun DONE =
            EndedRun.newBuilder().setRun(RUN).setEnding(RunEnding.RUN_DONE).setNumber(1).build();

    private WorkflowRecords records;

    private static WorkerIdentity identity(String hostId) {
        return WorkerIdentity.newBuilder()
                .setWorkerId("w")
                .setHostId(hostId)
                .setBornMillis(1)
                .build();
    }

    @BeforeMethod
    public void assignRun() {
        records = new WorkflowRecords();
        records.apply(accept("a", step(1)), 0);
        records.apply(
                WorkflowCommand.newBuilder()
                        .setRound(
                                SchedulingRound.newBuilder()
                                        .addAssigned(
                                                Assignment.newBuilder()
                                                        .setRun(RUN)
                                                        .setWorker(WORKER)))
                        .build(),
                0);
    }

    private static WorkerReport.Builder report(long reporterId, long knownNumber) {
        return WorkerReport.newBuilder()
                .setWorker(WORKER)
                .setReporterId(reporterId)
                .setKnownTerm(TERM)
                .setKnownNumber(knownNumber);
    }

    private List<EndedRun> endsAfter(WorkerReport... reports) {
        WorkerView view = new WorkerView(reports[0], TERM);
        long number = 0;
        for (WorkerReport report : reports) {
            view.update(report, null, number, LEASE);
            view.recordSent(++number);
        }
        return view.endsToRecord(records);
    }

    /**
     * Guards against a run that a killed agent process has given up and that its successor has
     * started since.
     */
    @Test
    public void shouldNotRecordRunGivenUpBySupersededProcess() {
        WorkerReport givenUp = report(7, 1).addEnded(NOT_STARTED).build();
        assertEquals(endsAfter(report(7, 0).build(), givenUp), List.of(NOT_STARTED));
        assertEquals(
                endsAfter(report(7, 0).build(), report(8, 0).build(), givenUp),
                List.of(),
                "process 8 has received directives since");
        WorkerReport listed = report(7, 1).addEnded(DONE).build();
        assertEquals(
                endsAfter(report(7, 0).build(), report(8, 0).build(), listed),
                List.of(DONE),
                "the worker itself lists the end");
    }

    /** Guards against a run given up in a former term that was started again since. */
    @Test
    public void shouldNotRecordRunGivenUpInEarlierTerm() {
        assertEquals(
                endsAfter(report(7, 9).setKnownTerm(TERM - 1).addEnded(NOT_STARTED).build()),
                List.of());
    }

    /** Guards against runs that never end because an earlier release does not state its term. */
    @Test
    public void shouldRecordRunGivenUpByAgentOfEarlierReleaseWithItsSecondReport() {
        WorkerReport earlier = report(7, 0).clearKnownTerm().addEnded(NOT_STARTED).build();
        assertEquals(endsAfter(earlier), List.of());
        assertEquals(endsAfter(earlier, earlier), List.of(NOT_STARTED));
    }

    /** Guards against an end that is reported by the agent of another host than the run's. */
    @Test
    public void shouldNotRecordEndFromOtherHost() {
        for (EndedRun ended : List.of(NOT_STARTED, DONE)) {
            WorkerReport foreign =
                    report(7, 0).setWorker(identity("other")).addEnded(ended).build();
            assertEquals(endsAfter(foreign, foreign), List.of());
        }
    }

    private List<EndedRun> lateEnds(EndedRun ended, WorkerIdentity reporting) {
        return ReportedEnds.late(
                report(7, 0).setWorker(reporting).addEnded(ended).build(), records);
    }

    /** Guards against a run that was done, is ended otherwise and is started again. */
    @Test
    public void shouldFindDoneRunThatWasEndedOtherwise() {
        assertEquals(lateEnds(DONE, WORKER), List.of(), "the run is open");
        records.apply(end(RUN, RunEnding.RUN_WORKER_LOST), 0);
        assertEquals(lateEnds(DONE, WORKER).size(), 1);
        assertTrue(lateEnds(DONE, WORKER).get(0).getLate());
        restoreFromSnapshot();
        assertEquals(lateEnds(DONE, WORKER).size(), 1);
        assertEquals(lateEnds(DONE, identity("other")), List.of(), "the run was not there");
        assertEquals(lateEnds(NOT_STARTED, WORKER), List.of());
        records.apply(
                round(SchedulingRound.newBuilder().addEnded(lateEnds(DONE, WORKER).get(0))), 0);
        assertEquals(lateEnds(DONE, WORKER), List.of(), "it is recorded");
    }

    private void restoreFromSnapshot() {
        records =
                WorkflowRecords.of(
                        FleetConfiguration.getDefaultInstance(),
                        records.toRecords(),
                        records.learned(),
                        records.toEarlyCancellations());
    }
}
