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
 * survival, whether one of them is the cause, provided that the worker does not crash on its own.
 *
 * <p>Invariants: a worker starts suspects only while none of its runs is unstable, which is a run
 * that may still crash its worker; a worker with an unstable suspect starts nothing else; suspects
 * never take or hold back more than half of the workers. Not thread-safe.
 */
public final class CrashIsolation {

    /** Unreliability from which a worker starts no suspects while others are more reliable. */
    public static final int FLAPPING = 2;

    private final Map<String, Occupancy> workers = new HashMap<>();

    /** The unstable runs of a worker, and whether it is closed to tasks that are no suspects. */
    private static final class Occupancy {
        private final int unreliability;
        private int unstableRuns;
        private boolean startsSuspect;
        private boolean heldBack;

        private Occupancy(int unreliability) {
            this.unreliability = unreliability;
        }
    }

    /**
     * Adds a worker.
     *
     * @param workerId the worker
     * @param unreliability 0 for a worker without recent crashes, 1 for one with some, {@link
     *     #FLAPPING} for one that has crashed just now and may crash again in any case
     */
    public void addWorker(String workerId, int unreliability) {
        workers.put(workerId, new Occupancy(unreliability));
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
     * Returns the workers that may start the suspects of a workflow: the most reliable first, as
     * their crash is the strongest evidence, then those with the fewest neighbours, as a crash ends
     * their runs too.
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
                .filter(worker -> isReliable(worker.workerId()))
                .sorted(
                        Comparator.comparingInt(
                                        (WorkerCapacity worker) ->
                                                workers.get(worker.workerId()).unreliability)
                                .thenComparingInt(WorkerCapacity::servingCount)
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
                        .filter(worker -> isReliable(worker.workerId()))
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

    /** Returns whether a worker does not flap, or all workers do. */
    private boolean isReliable(String workerId) {
        return workers.get(workerId).unreliability < FLAPPING
                || workers.values().stream().allMatch(each -> each.unreliability >= FLAPPING);
    }

    private boolean isLimitReached() {
        long closed = workers.keySet().stream().filter(each -> !admitsOthers(each)).count();
        return 2 * (closed + 1) > Math.max(2, workers.size());
    }
}
