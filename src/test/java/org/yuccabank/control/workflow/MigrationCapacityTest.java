package org.yuccabank.control.workflow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.InterferenceAwareSelector;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WaitingTask.Load;
import org.yuccabank.policy.workflow.WaitingTask.LoadKind;
import org.yuccabank.policy.workflow.WorkerCapacity;

/**
 * Tests the reservation of capacity for throttled best-effort tasks that migrate to another worker.
 */
public final class MigrationCapacityTest {

    private static final Resources SERVING = Resources.of(3_200, 6_400, 0);
    private static final double PRESSURE = 0.3;

    private static WorkerCapacity worker(String workerId, double pressureLimit) {
        WorkerCapacity worker =
                new WorkerCapacity(
                        workerId,
                        "service",
                        "rack",
                        Set.of(),
                        Resources.of(16_000, 64_000, 0),
                        (serving, bestEffort) -> PRESSURE);
        worker.reserve("s", SERVING, new Load(LoadKind.SERVING, "web", 1_900));
        worker.setPressureLimit("web", pressureLimit);
        return worker;
    }

    private static WaitingTask throttledTask() {
        return new WaitingTask(
                "f",
                0,
                Resources.of(0, 3_200, 0),
                new Load(LoadKind.BEST_EFFORT, "render", 1_800),
                2,
                9_000,
                27_000,
                3_000,
                1.0,
                new WaitingTask.Constraints("service", Optional.empty(), Optional.empty(), 0));
    }

    /**
     * Guards against tasks that are stopped repeatedly and lose their work, because busy serving
     * tasks on every other worker cause throttling there as well. This happened to 1,804 of 7,846
     * runs on quiet-1 of the large site (5a567b03).
     */
    @Test
    public void shouldReserveNothingWhileEveryWorkerIsBusy() {
        MigrationCapacity capacity =
                new MigrationCapacity(
                        List.of(worker("a", 0.1), worker("b", 0.1)),
                        new InterferenceAwareSelector());
        assertFalse(capacity.tryReserve(throttledTask(), "a"));
    }

    /** Guards against migrating several tasks to a worker with capacity for only one. */
    @Test
    public void shouldReserveCapacityOfOtherWorkerOnce() {
        MigrationCapacity capacity =
                new MigrationCapacity(
                        List.of(worker("a", 0.9), worker("b", 0.35)),
                        new InterferenceAwareSelector());
        assertTrue(capacity.tryReserve(throttledTask(), "a"));
        assertFalse(capacity.tryReserve(throttledTask(), "a"));
    }
}
