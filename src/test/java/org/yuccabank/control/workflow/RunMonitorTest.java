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
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.Assignment;
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

    /** Guards against a worker that stays excluded although a lasting task works on it again. */
    @Test
    public void shouldIncludeWorkerOnWhichLastingTaskWorksAgain() {
        WorkflowRecords records = new WorkflowRecords();
        RunMonitor monitor = new RunMonitor();
        List<RunAddress> failing = List.of(run("a", 0, 0, 1), run("a", 0, 1, 1), run("b", 0, 0, 1));
        records.apply(accept("a", step(2)), NOW);
        records.apply(accept("b", step(1)), NOW);
        records.apply(accept("lasting", step(1).setLasting(true)), NOW);
        records.apply(assign(failing.toArray(RunAddress[]::new)), NOW);
        for (RunAddress run : failing) {
            EndedRun ended =
                    EndedRun.newBuilder().setRun(run).setEnding(RunEnding.RUN_FAILED).build();
            monitor.recordEnd(ended, records.openRun(run).orElseThrow(), NOW);
        }
        List<String> workers = List.of(WORKER.getWorkerId(), "other");
        long later = NOW + 3_000;
        RunAddress probe = run("lasting", 0, 0, 1);
        records.apply(assign(probe), later);
        monitor.recordAssignment(Assignment.newBuilder().setRun(probe).setWorker(WORKER).build());
        assertEquals(
                monitor.circuitState(WORKER.getWorkerId(), workers, later),
                WorkerCircuitBreaker.State.PROBING);
        ActiveRun active = ActiveRun.newBuilder().setRun(probe).setPercent(100).build();
        for (long now = later; now <= later + 2_000; now += 500) {
            monitor.updateProgress(
                    active, records.openRun(probe).orElseThrow(), now, task -> false);
        }
        assertEquals(
                monitor.circuitState(WORKER.getWorkerId(), workers, later + 2_000),
                WorkerCircuitBreaker.State.CLOSED);
    }

    /** Guards against excluding a worker because its capacity has shrunk. */
    @Test
    public void shouldNotExcludeWorkerWhoseCapacityShrank() {
        assertEquals(
                stateAfterEnds(RunEnding.RUN_WITHOUT_CAPACITY), WorkerCircuitBreaker.State.CLOSED);
        assertEquals(stateAfterEnds(RunEnding.RUN_NOT_STARTED), WorkerCircuitBreaker.State.OPEN);
    }

    /** Guards against a worker that repeats the tasks it receives, as it discards their ends. */
    @Test
    public void shouldExcludeWorkerThatDiscardsEnds() {
        assertEquals(
                stateAfterEnds(RunEnding.RUN_OUTCOME_UNKNOWN), WorkerCircuitBreaker.State.OPEN);
    }
}
