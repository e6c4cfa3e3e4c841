package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.yuccabank.state.workflow.WorkflowFixtures.WORKER;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.assign;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests which runs the leader orders an agent to start and to stop. */
public final class RunDirectivesTest {

    private static final RunAddress RUN = run("a", 0, 0, 1);

    private WorkflowRecords records;
    private WorkerView view;

    @BeforeMethod
    public void assignRun() {
        records = new WorkflowRecords();
        records.apply(accept("a", step(1)), 0);
        records.apply(assign(RUN), 0);
        WorkerReport report = WorkerReport.newBuilder().setWorker(WORKER).setListed(true).build();
        view = new WorkerView(report, 1);
        view.update(report, null, 0, new LeaseBound(9_000, 0.03));
    }

    private WorkerDirectives directives(Map<RunAddress, EndedRun> pendingEnds) {
        WorkerDirectives.Builder directives = WorkerDirectives.newBuilder();
        RunDirectives.addTo(directives, view, records, pendingEnds, task -> false);
        return directives.build();
    }

    /**
     * Guards against a restarted agent that starts a run again while its end, which the previous
     * agent process has reported, is being committed together with the next run of the task.
     */
    @Test
    public void shouldNotStartRunWithPendingEnd() {
        assertEquals(
                directives(Map.of()).getStartsList().stream().map(StartRun::getRun).toList(),
                List.of(RUN));
        WorkerDirectives whilePending =
                directives(Map.of(RUN, EndedRun.newBuilder().setRun(RUN).build()));
        assertEquals(whilePending.getStartsCount(), 0);
        assertEquals(whilePending.getStopsCount(), 0);
    }
}
