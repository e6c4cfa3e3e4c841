package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerCrash;
import org.yuccabank.protocol.generated.WorkerIdentity;

/** Tests which runs an agent suspects of a crash of its worker. */
public final class CrashEvidenceTest {

    private static final WorkerIdentity FIRST = worker(1);
    private static final WorkerIdentity SECOND = worker(2);

    private static WorkerIdentity worker(long bornMillis) {
        return WorkerIdentity.newBuilder().setBornMillis(bornMillis).build();
    }

    private static RunAddress run(String workflowId) {
        return RunAddress.newBuilder()
                .setTask(TaskAddress.newBuilder().setWorkflowId(workflowId))
                .setAttempt(1)
                .build();
    }

    private static RunEntry start(RunTable table, String workflowId) {
        return table.addStart(StartRun.newBuilder().setRun(run(workflowId)).build(), false)
                .orElseThrow();
    }

    /** Guards against suspecting runs that had lasted, or that never reached the worker. */
    @Test
    public void shouldSuspectOnlyRunsThatStartedShortlyBefore() {
        RunTable table = new RunTable();
        start(table, "old");
        table.recordAnswer(List.of(run("old")), 1_000);
        start(table, "recent");
        table.recordAnswer(List.of(run("recent")), 1_490);
        start(table, "unanswered").endStart(true);
        start(table, "inProgress").beginStart();
        start(table, "unsent").endStart(false);
        table.recordAnswer(List.of(), 1_500);
        WorkerCrash crash = table.crash(FIRST);
        assertEquals(crash.getSuspectsList(), List.of(run("recent")));
        assertEquals(
                crash.getUncertainSuspectsList(), List.of(run("unanswered"), run("inProgress")));
        assertEquals(
                table.active().stream()
                        .filter(ActiveRun::getStable)
                        .map(ActiveRun::getRun)
                        .toList(),
                List.of(run("old")));
    }

    /** Guards against losing the evidence before a leader has seen it. */
    @Test
    public void shouldKeepEvidenceOfPreviousIncarnation() {
        RunTable table = new RunTable();
        start(table, "a");
        table.recordAnswer(List.of(run("a")), 1_000);
        CrashEvidence evidence = new CrashEvidence(table::crash);
        assertTrue(evidence.recordResponsive(false, 2_000));
        assertFalse(evidence.recordResponsive(false, 2_200));
        assertEquals(
                evidence.latest(FIRST, 2_300).orElseThrow().getSuspectsList(), List.of(run("a")));
        evidence.recordReplaced(FIRST, false, 3_000);
        table.clear(false, 0);
        evidence.recordResponsive(true, 3_100);
        WorkerCrash latest = evidence.latest(SECOND, 9_000).orElseThrow();
        assertEquals(latest.getWorker(), FIRST);
        assertEquals(latest.getSuspectsList(), List.of(run("a")));
    }

    /** Guards against counting a planned end, or a silence that has ended, as a crash. */
    @Test
    public void shouldDropEvidenceOfWorkerThatLeavesOrAnswersAgain() {
        CrashEvidence evidence = new CrashEvidence(new RunTable()::crash);
        evidence.recordResponsive(false, 1_000);
        assertTrue(evidence.recordResponsive(true, 1_200));
        assertTrue(evidence.latest(FIRST, 1_300).isEmpty());
        evidence.recordReplaced(FIRST, true, 2_000);
        assertTrue(evidence.latest(SECOND, 2_100).isEmpty());
    }

    /** Guards against a leader that takes a worker which crashes on its own for a reliable one. */
    @Test
    public void shouldReportEarlierCrashes() {
        CrashEvidence evidence = new CrashEvidence(new RunTable()::crash);
        evidence.recordReplaced(FIRST, false, 1_000);
        assertEquals(evidence.earlier(1_500), List.of());
        evidence.recordReplaced(SECOND, false, 3_000);
        assertEquals(evidence.earlier(4_000).get(0).getWorker(), FIRST);
        assertEquals(evidence.earlier(4_000).get(0).getAgeMillis(), 3_000);
        evidence.recordResponsive(false, 5_000);
        assertEquals(
                evidence.earlier(5_000).stream().map(WorkerCrash::getWorker).toList(),
                List.of(SECOND, FIRST));
        assertEquals(evidence.earlier(62_000).size(), 1, "too old to be weighed");
    }

    /**
     * Guards against a leader that takes old crashes it has just heard of for simultaneous ones.
     */
    @Test
    public void shouldReportTimeSinceCrashWasNoticed() {
        CrashEvidence evidence = new CrashEvidence(new RunTable()::crash);
        evidence.recordResponsive(false, 1_000);
        evidence.recordResponsive(false, 1_200);
        assertEquals(evidence.latest(FIRST, 1_500).orElseThrow().getAgeMillis(), 500);
        evidence.recordReplaced(FIRST, false, 3_000);
        assertEquals(evidence.latest(SECOND, 5_000).orElseThrow().getAgeMillis(), 4_000);
        evidence.recordReplaced(SECOND, false, 7_000);
        assertEquals(evidence.latest(worker(3), 8_000).orElseThrow().getAgeMillis(), 1_000);
    }
}
