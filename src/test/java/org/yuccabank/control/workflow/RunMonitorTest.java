package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.yuccabank.state.workflow.WorkflowFixtures.WORKER;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.assign;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests which ends of runs count against their worker. */
public final class RunMonitorTest {

    private static final long NOW = 1_000;

    private static WorkerCircuitBreaker.State stateAfterEnds(RunEnding ending) {
        WorkflowRecords records = new WorkflowRecords();
        RunMonitor monitor = new RunMonitor();
        List<RunAddress> runs = List.of(run("a", 0, 0, 1), run("a", 0, 1, 1), run("b", 0, 0, 1));
        records.apply(accept("a", step(2)), NOW);
        records.apply(accept("b", step(1)), NOW);
        records.apply(assign(runs.toArray(RunAddress[]::new)), NOW);
        for (RunAddress run : runs) {
            EndedRun ended = EndedRun.newBuilder().setRun(run).setEnding(ending).build();
            monitor.recordEnd(ended, records.openRun(run).orElseThrow(), NOW);
        }
        String workerId = WORKER.getWorkerId();
        return monitor.circuitState(workerId, List.of(workerId, "other"), NOW);
    }

    /** Guards against excluding a worker because its capacity has shrunk. */
    @Test
    public void shouldNotExcludeWorkerWhoseCapacityShrank() {
        assertEquals(
                stateAfterEnds(RunEnding.RUN_WITHOUT_CAPACITY), WorkerCircuitBreaker.State.CLOSED);
        assertEquals(stateAfterEnds(RunEnding.RUN_NOT_STARTED), WorkerCircuitBreaker.State.OPEN);
    }
}
