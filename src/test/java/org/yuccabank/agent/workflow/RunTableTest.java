package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.TaskAddress;

/** Tests how the agent determines which runs started and ended. */
public final class RunTableTest {

    private static final RunAddress RUN =
            RunAddress.newBuilder()
                    .setTask(TaskAddress.newBuilder().setWorkflowId("a"))
                    .setAttempt(1)
                    .build();
    private static final StartRun START_REQUEST = StartRun.newBuilder().setRun(RUN).build();

    private static EndedRun done(long number) {
        return EndedRun.newBuilder()
                .setRun(RUN)
                .setEnding(RunEnding.RUN_DONE)
                .setNumber(number)
                .build();
    }

    private static boolean applyListing(
            RunTable table, List<ActiveRun> active, List<EndedRun> ended, long requestedMillis) {
        return table.applyListing(
                new WorkerApi.ListOutcome.Listing(0, active, ended, true), requestedMillis);
    }

    private static boolean applyIncompleteListing(
            RunTable table, List<EndedRun> ended, long requestedMillis) {
        return table.applyListing(
                new WorkerApi.ListOutcome.Listing(0, List.of(), ended, false), requestedMillis);
    }

    private static EndedRun endOfOtherRun(long number) {
        RunAddress other =
                RUN.toBuilder().setTask(TaskAddress.newBuilder().setWorkflowId("b")).build();
        return done(number).toBuilder().setRun(other).build();
    }

    /**
     * Guards against a run that is done and starts again, because its end is not among the first
     * ends that the worker returns.
     */
    @Test
    public void shouldNotTakeEndBeyondTruncatedListForMissing() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false);
        table.recordAnswer(List.of(RUN), 100);
        assertTrue(applyIncompleteListing(table, List.of(endOfOtherRun(1)), 200), "another end");
        assertEquals(table.ended(), List.of(endOfOtherRun(1)), "the run may be active");
        table.acknowledge(1);
        applyListing(table, List.of(), List.of(done(2)), 202);
        assertEquals(table.ended(), List.of(done(2)));
    }

    /** Guards against a run that counts as not started because its end is beyond the list. */
    @Test
    public void shouldNotTakeEndBeyondTruncatedListForAbsenceAfterStop() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false).orElseThrow().awaitAbsence(100);
        assertFalse(applyIncompleteListing(table, List.of(), 200));
        assertTrue(applyListing(table, List.of(), List.of(), 201));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_NOT_STARTED);
    }

    /** Guards against reporting a run as not started if its start is executed late. */
    @Test
    public void shouldReportRunNotStartedOnlyIfAbsentFromListAfterStop() {
        RunTable table = new RunTable();
        RunEntry entry = table.addStart(START_REQUEST, false).orElseThrow();
        entry.setStage(RunEntry.Stage.UNCERTAIN);
        assertFalse(applyListing(table, List.of(), List.of(), 50));
        entry.awaitAbsence(100);
        assertFalse(
                applyListing(table, List.of(), List.of(), 100),
                "requested before the stop was confirmed");
        assertTrue(applyListing(table, List.of(), List.of(), 101));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_NOT_STARTED);
    }

    /**
     * Guards against a task that is done and starts again as "not started", because the worker has
     * discarded the end of its run unseen.
     */
    @Test
    public void shouldNotReportRunNotStartedThatHasStarted() {
        RunTable table = new RunTable();
        RunEntry entry = table.addStart(START_REQUEST, false).orElseThrow();
        entry.setStage(RunEntry.Stage.STARTED);
        table.recordAnswer(List.of(RUN), 100);
        entry.awaitAbsence(200);
        assertTrue(applyListing(table, List.of(), List.of(), 201));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_OUTCOME_UNKNOWN);
    }

    /**
     * Guards against a lost end that looks like a run without progress for seconds, and against the
     * loss of its checkpoint.
     */
    @Test
    public void shouldReportMissingRunAtOnceWithItsCheckpoint() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false);
        ActiveRun active = ActiveRun.newBuilder().setRun(RUN).setCheckpoint("saved").build();
        applyListing(table, List.of(active), List.of(), 90);
        table.recordAnswer(List.of(RUN), 100);
        assertFalse(
                applyListing(table, List.of(), List.of(), 100),
                "requested before the worker confirmed the run");
        assertTrue(applyListing(table, List.of(), List.of(), 101));
        EndedRun ended = table.ended().get(0);
        assertEquals(ended.getEnding(), RunEnding.RUN_OUTCOME_UNKNOWN);
        assertEquals(ended.getCheckpoint(), "saved");
        assertEquals(ended.getNumber(), 0);
        assertEquals(table.active(), List.of());
        assertFalse(applyListing(table, List.of(), List.of(), 102), "reported once");
    }

    /** Guards against a confirmation in the same millisecond that makes a run "not started". */
    @Test
    public void shouldNotReportRunNotStartedThatIsConfirmedWhileItsStopIs() {
        RunTable table = new RunTable();
        table.requestStop(RUN).awaitAbsence(100);
        table.recordAnswer(List.of(RUN), 110);
        assertFalse(applyListing(table, List.of(), List.of(), 110));
        assertTrue(applyListing(table, List.of(), List.of(), 111));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_OUTCOME_UNKNOWN);
    }

    /**
     * Guards against "not started" for a run whose unanswered start was carried out, as the refusal
     * of its repetition shows.
     */
    @Test
    public void shouldNotReportRunNotStartedWhoseRepetitionIsOutdated() {
        RunTable table = new RunTable();
        RunEntry entry = table.addStart(START_REQUEST, false).orElseThrow();
        entry.beginStart();
        entry.endStart(true);
        entry.recordOutdated(100);
        assertTrue(applyListing(table, List.of(), List.of(), 101));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_OUTCOME_UNKNOWN);
    }

    /** Guards against "not started" for a run that a previous agent process has started. */
    @Test
    public void shouldNotReportRunNotStartedThatPreviousProcessMayHaveStarted() {
        RunTable table = new RunTable();
        RunEntry entry = table.addStart(START_REQUEST, true).orElseThrow();
        entry.recordOutdated(100);
        assertTrue(applyListing(table, List.of(), List.of(), 101));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_OUTCOME_UNKNOWN);
    }

    /** Guards against an unknown outcome of a run whose only start was refused as outdated. */
    @Test
    public void shouldReportRunNotStartedWhoseOnlyStartIsOutdated() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false).orElseThrow().recordOutdated(100);
        assertTrue(applyListing(table, List.of(), List.of(), 101));
        assertEquals(table.ended().get(0).getEnding(), RunEnding.RUN_NOT_STARTED);
    }

    /** Guards against a conclusion that hides the end which a later list contains. */
    @Test
    public void shouldReplaceUnknownOutcomeByListedEnd() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false);
        table.recordAnswer(List.of(RUN), 100);
        applyListing(table, List.of(), List.of(), 101);
        assertTrue(applyListing(table, List.of(), List.of(done(7)), 102));
        assertEquals(table.ended(), List.of(done(7)));
    }

    /** Guards against losing an end because the outcome of the start was unknown. */
    @Test
    public void shouldReportEndOfRunWithUnansweredStart() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false).orElseThrow().awaitAbsence(100);
        assertTrue(applyListing(table, List.of(), List.of(done(7)), 200));
        assertEquals(table.ended(), List.of(done(7)));
    }

    /** Guards against a run that a late list restores after its end was acknowledged. */
    @Test
    public void shouldNotRestoreRunWithAcknowledgedEnd() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false);
        applyListing(table, List.of(), List.of(done(7)), 10);
        table.acknowledge(7);
        applyListing(table, List.of(), List.of(done(7)), 20);
        assertTrue(table.entries().isEmpty());
    }

    /** Guards against further lost ends of a worker that has discarded one. */
    @Test
    public void shouldDistrustWorkerThatHasDiscardedEndUntilItListsOne() {
        RunTable table = new RunTable();
        RunEntry entry = table.addStart(START_REQUEST, false).orElseThrow();
        entry.setStage(RunEntry.Stage.STARTED);
        entry.recordConfirmed(10);
        assertFalse(table.mayDiscardEnds());
        applyListing(table, List.of(), List.of(), 20);
        assertTrue(table.mayDiscardEnds());
        applyListing(table, List.of(), List.of(done(7)), 30);
        assertFalse(table.mayDiscardEnds());
    }

    /**
     * Guards against acknowledging numbers that the worker has discarded, which would be those of
     * unseen ends if the call reached its next incarnation.
     */
    @Test
    public void shouldAcknowledgeOnlyWhileTheWorkerListsEnds() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false);
        applyListing(table, List.of(), List.of(done(7)), 10);
        assertEquals(table.numberToDiscard(), 0);
        table.acknowledge(7);
        assertEquals(table.numberToDiscard(), 7);
        applyListing(table, List.of(), List.of(), 20);
        assertEquals(table.numberToDiscard(), 0);
        applyListing(table, List.of(), List.of(done(8)), 30);
        assertEquals(table.numberToDiscard(), 0, "all ends up to 7 are discarded");
        table.acknowledge(8);
        assertEquals(table.numberToDiscard(), 8);
        table.clear(false, 0);
        assertEquals(table.numberToDiscard(), 0);
    }

    /**
     * Guards against list requests without a pause while the worker repeats an end that a busy
     * leader has not acknowledged. This caused 10 lists per second from 15 workers.
     */
    @Test
    public void shouldDetectEndsThatTheWorkerRepeats() {
        RunTable table = new RunTable();
        table.addStart(START_REQUEST, false);
        assertFalse(table.hasUnacknowledgedEnds());
        applyListing(table, List.of(), List.of(done(7)), 10);
        assertTrue(table.hasUnacknowledgedEnds());
        table.acknowledge(7);
        assertFalse(table.hasUnacknowledgedEnds());
    }

    /** Guards against lists without a wait during each stop of a run that the worker confirms. */
    @Test
    public void shouldExpectAbsenceOnlyOfRunThatWorkerHasNotConfirmed() {
        RunTable table = new RunTable();
        RunEntry entry = table.requestStop(RUN);
        assertFalse(table.isAbsenceExpected(), "the stop is not confirmed");
        entry.awaitAbsence(100);
        assertTrue(table.isAbsenceExpected());
        table.recordAnswer(List.of(RUN), 110);
        assertFalse(table.isAbsenceExpected(), "the run is being stopped");
    }

    /** Guards against a second start call for a known run. */
    @Test
    public void shouldAddStartOnce() {
        RunTable table = new RunTable();
        assertTrue(table.addStart(START_REQUEST, false).isPresent());
        assertTrue(table.addStart(START_REQUEST, false).isEmpty());
    }

    /** Guards against a new agent process that does not report runs started by the previous one. */
    @Test
    public void shouldReportRunsItDidNotStart() {
        RunTable table = new RunTable();
        ActiveRun active = ActiveRun.newBuilder().setRun(RUN).setPercent(40).build();
        applyListing(table, List.of(active), List.of(), 10);
        assertEquals(table.active(), List.of(active.toBuilder().setUnknown(true).build()));
        table.addStart(START_REQUEST.toBuilder().setLatencyTargetMillis(20).build(), false);
        assertEquals(table.servingRuns().size(), 1, "the target is known again");
        assertEquals(table.active(), List.of(active));
    }
}
