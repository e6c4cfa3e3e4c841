package org.yuccabank.policy.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Separates tasks that are suspected of crashing their worker from other recent starts, for one
 * planning round. All runs that had started shortly before a crash are suspects, so a worker that
 * starts the suspects of a single workflow and nothing else shows by its next crash, or by its
 * survival, whether one of them is the cause.
 *
 * <p>Invariants: a worker starts suspects only while none of its runs is unstable, which is a run
 * that may still crash its worker; a worker with an unstable suspect starts nothing else; suspects
 * never take or hold back more than half of the workers. Not thread-safe.
 */
public final class CrashIsolation {

    private final Map<String, Occupancy> workers = new HashMap<>();

    /** The unstable runs of a worker, and whether it is closed to tasks that are no suspects. */
    private static final class Occupancy {
        private int unstableRuns;
        private boolean startsSuspect;
        private boolean heldBack;
    }

    /**
     * Adds a worker.
     *
     * @param workerId the worker
     */
    public void addWorker(String workerId) {
        workers.put(workerId, new Occupancy());
    }

    /**
     * Adds an unstable run of a worker.
     *
     * @param workerId the worker
     * @param suspect whether its task is suspected
     */
    public void addUnstableRun(String workerId, boolean suspect) {
        Occupancy occupancy = workers.get(workerId);
        occupancy.unstableRuns++;
        occupancy.startsSuspect |= suspect;
    }

    /**
     * Returns the workers that may start the suspects of a workflow, those with the fewest
     * neighbours first, as a crash ends their runs too.
     *
     * @param candidates the workers
     * @return the workers without unstable runs, none if suspects already take half of all workers
     */
    public List<WorkerCapacity> suspectWorkers(List<WorkerCapacity> candidates) {
        if (isLimitReached()) {
            return List.of();
        }
        return candidates.stream()
                .filter(worker -> workers.get(worker.workerId()).unstableRuns == 0)
                .sorted(
                        Comparator.comparingInt(WorkerCapacity::servingCount)
                                .thenComparingInt(WorkerCapacity::taskCount)
                                .thenComparing(WorkerCapacity::workerId))
                .toList();
    }

    /**
     * Records the start of suspects on a worker.
     *
     * @param workerId the worker
     */
    public void recordSuspectStart(String workerId) {
        addUnstableRun(workerId, true);
    }

    /**
     * Holds a worker back for suspects that have found none, so that its unstable runs become
     * stable. The choice is the same in the next round, as the worker gets no other starts.
     *
     * @param candidates the workers
     * @param admits returns whether the suspects could run on a worker
     */
    public void holdBackWorker(List<WorkerCapacity> candidates, Predicate<WorkerCapacity> admits) {
        if (isLimitReached()) {
            return;
        }
        Optional<WorkerCapacity> best =
                candidates.stream()
                        .filter(worker -> admitsOthers(worker.workerId()))
                        .filter(admits)
                        .min(
                                Comparator.comparingInt(
                                                (WorkerCapacity worker) ->
                                                        workers.get(worker.workerId()).unstableRuns)
                                        .thenComparing(WorkerCapacity::workerId));
        best.ifPresent(worker -> workers.get(worker.workerId()).heldBack = true);
    }

    /**
     * Returns whether a worker may start tasks that are no suspects.
     *
     * @param workerId the worker
     * @return false if it starts suspects or is held back for some
     */
    public boolean admitsOthers(String workerId) {
        Occupancy occupancy = workers.get(workerId);
        return !occupancy.startsSuspect && !occupancy.heldBack;
    }

    private boolean isLimitReached() {
        long closed = workers.keySet().stream().filter(each -> !admitsOthers(each)).count();
        return 2 * (closed + 1) > Math.max(2, workers.size());
    }
}
