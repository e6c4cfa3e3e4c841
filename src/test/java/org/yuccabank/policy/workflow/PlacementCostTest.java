package org.yuccabank.policy.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.WaitingTask.Load;
import org.yuccabank.policy.workflow.WaitingTask.LoadKind;

/**
 * Tests the cost of placing a burst of best-effort tasks on a large fleet, counted in pressure
 * lookups.
 */
public final class PlacementCostTest {

    private static final int WORKERS = 910;
    private static final int TASKS = 200;
    private static final Resources SERVING = Resources.of(3_200, 6_400, 0);
    private static final Resources BEST_EFFORT = Resources.of(0, 3_200, 0);
    private static final Load BEST_EFFORT_LOAD = new Load(LoadKind.BEST_EFFORT, "render", 1_800);

    /** Maximum number of pressure lookups for scoring a worker and reserving capacity on it. */
    private static final int MAXIMUM_LOOKUPS_PER_WORKER = 8;

    private final AtomicLong pressureLookups = new AtomicLong();

    private List<WorkerCapacity> candidates() {
        Pressures counting =
                (serving, bestEffort) -> {
                    pressureLookups.incrementAndGet();
                    return 0.1;
                };
        List<WorkerCapacity> candidates = new ArrayList<>();
        for (int number = 0; number < WORKERS; number++) {
            WorkerCapacity worker =
                    new WorkerCapacity(
                            "w" + number,
                            "service",
                            "rack",
                            Set.of(),
                            Resources.of(16_000, 64_000, 0),
                            counting);
            worker.reserve("s", SERVING, new Load(LoadKind.SERVING, "web", 1_900));
            candidates.add(worker);
        }
        return candidates;
    }

    private static WaitingTask task() {
        return new WaitingTask(
                "f",
                0,
                BEST_EFFORT,
                BEST_EFFORT_LOAD,
                2,
                9_000,
                27_000,
                3_000,
                1.0,
                new WaitingTask.Constraints("service", Optional.empty(), Optional.empty(), 0));
    }

    /**
     * Guards against a planning cost proportional to the product of tasks and workers, which took a
     * leader 18 ms for 147 tasks on 80 workers.
     */
    @Test
    public void shouldScoreEachWorkerOnceForBurstOfTasks() {
        List<WorkerCapacity> candidates = candidates();
        pressureLookups.set(0);
        assertEquals(
                new InterferenceAwareSelector().reserve(task(), TASKS, candidates).size(), TASKS);
        assertTrue(
                pressureLookups.get() <= MAXIMUM_LOOKUPS_PER_WORKER * (WORKERS + TASKS),
                "looked up " + pressureLookups.get() + " pressures");
    }

    /** Guards against a batch placement that differs from placing the tasks one by one. */
    @Test
    public void shouldChooseSameWorkersInBatchAsOneByOne() {
        List<String> batched =
                new InterferenceAwareSelector()
                        .reserve(task(), TASKS, candidates()).stream()
                                .map(WorkerCapacity::workerId)
                                .toList();
        WorkerSelector unbatched = new InterferenceAwareSelector()::select;
        List<String> oneByOne =
                unbatched.reserve(task(), TASKS, candidates()).stream()
                        .map(WorkerCapacity::workerId)
                        .toList();
        assertEquals(batched, oneByOne);
    }
}
