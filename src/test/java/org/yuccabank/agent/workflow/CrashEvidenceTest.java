package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.TaskAddress;
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
        return table.addStart(StartRun.newBuilder().setRun(run(workflowId)).build()).orElseThrow();
    }

    /** Guards against suspecting runs that had lasted, or that were never sent to the worker. */
    @Test
    public void shouldSuspectOnlyRunsThatStartedShortlyBefore() {
        RunTable table = new RunTable();
        start(table, "old").recordStartSent();
        table.recordAnswer(List.of(run("old")), 1_000);
        start(table, "recent").recordStartSent();
        table.recordAnswer(List.of(run("recent")), 1_490);
        start(table, "unanswered").recordStartSent();
        start(table, "unsent");
        table.recordAnswer(List.of(), 1_500);
        assertEquals(table.crashSuspects(), Set.of(run("recent"), run("unanswered")));
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
        CrashEvidence evidence = new CrashEvidence();
        assertTrue(evidence.recordUnresponsive(FIRST, Set.of(run("a"))));
        assertFalse(evidence.recordUnresponsive(FIRST, Set.of()));
        evidence.recordReplaced(FIRST, false, Set.of());
        evidence.recordResponsive(SECOND);
        assertEquals(evidence.latest().orElseThrow().getSuspectsList(), List.of(run("a")));
    }

    /** Guards against counting a planned end, or a silence that has ended, as a crash. */
    @Test
    public void shouldDropEvidenceOfWorkerThatLeavesOrAnswersAgain() {
        CrashEvidence evidence = new CrashEvidence();
        evidence.recordUnresponsive(FIRST, Set.of(run("a")));
        assertTrue(evidence.recordResponsive(FIRST));
        assertTrue(evidence.latest().isEmpty());
        evidence.recordReplaced(FIRST, true, Set.of(run("a")));
        assertTrue(evidence.latest().isEmpty());
    }
}
