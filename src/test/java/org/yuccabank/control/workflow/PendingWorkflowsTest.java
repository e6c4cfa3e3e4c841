package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.yuccabank.state.workflow.WorkflowFixtures.WORKER;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.assign;
import static org.yuccabank.state.workflow.WorkflowFixtures.end;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests which workflows count as pending. */
public final class PendingWorkflowsTest {

    private static final long NOW = 1_000;

    private WorkflowRecords records;
    private WorkerView view;

    /** Accepts a workflow whose only task is assigned to a worker that has not listed it. */
    @BeforeMethod
    public void assignTask() {
        records = new WorkflowRecords();
        records.apply(accept("a", step(1)), NOW);
        records.apply(assign(run("a", 0, 0, 1)), NOW);
        report(ActiveRun.newBuilder());
    }

    private void report(ActiveRun.Builder active) {
        WorkerReport report =
                WorkerReport.newBuilder()
                        .setWorker(WORKER)
                        .setListed(true)
                        .addActive(active.setRun(run("a", 0, 0, 1)))
                        .build();
        view = new WorkerView(report, 1);
        view.update(report, null, NOW, new LeaseBound(3_000, 0.05));
    }

    private int pending() {
        return PendingWorkflows.count(
                records.liveWorkflows(),
                "queue",
                worker -> Optional.of(view).filter(each -> each.worker().equals(worker)));
    }

    /**
     * Guards against workflows that wait and are not counted, because a task was assigned that the
     * worker has refused (review/10).
     */
    @Test
    public void shouldCountWorkflowWhoseAssignedTaskHasNotStarted() {
        assertEquals(pending(), 1);
        records.apply(end(run("a", 0, 0, 1), RunEnding.RUN_NOT_STARTED), NOW);
        assertEquals(pending(), 1);
    }

    /** Guards against counting workflows of which a task is at work or has ended. */
    @Test
    public void shouldNotCountWorkflowOfWhichTaskHasStarted() {
        report(ActiveRun.newBuilder().setPercent(1));
        assertEquals(pending(), 0);
        records.apply(end(run("a", 0, 0, 1), RunEnding.RUN_FAILED), NOW);
        report(ActiveRun.newBuilder());
        assertEquals(pending(), 0);
    }
}
