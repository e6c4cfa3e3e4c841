package org.yuccabank.policy.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Selects the worker for a task. Implementations are immutable. */
@FunctionalInterface
public interface WorkerSelector {

    /**
     * Selects a worker for a task, without reserving capacity on it.
     *
     * @param task the task
     * @param candidates the candidate workers
     * @return the worker, empty if none admits the task
     */
    Optional<WorkerCapacity> select(WaitingTask task, Collection<WorkerCapacity> candidates);

    /**
     * Selects workers for identical tasks and reserves capacity for each of them.
     *
     * @param task one of the tasks
     * @param count number of tasks
     * @param candidates the candidate workers
     * @return one worker per placed task, fewer than {@code count} if capacity is short
     */
    default List<WorkerCapacity> reserve(
            WaitingTask task, int count, Collection<WorkerCapacity> candidates) {
        List<WorkerCapacity> selected = new ArrayList<>();
        while (selected.size() < count) {
            Optional<WorkerCapacity> worker = select(task, candidates);
            if (worker.isEmpty()) {
                break;
            }
            worker.get().reserve(task.stepKey(), task.resources(), task.load());
            selected.add(worker.get());
        }
        return selected;
    }
}
