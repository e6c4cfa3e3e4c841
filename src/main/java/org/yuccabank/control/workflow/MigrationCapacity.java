package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.List;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerCapacity;
import org.yuccabank.policy.workflow.WorkerSelector;

/**
 * Capacity of the workers, at one point in time, to which running tasks may migrate.
 *
 * <p>Invariant: capacity that is reserved for one task is not offered to another. Confined to the
 * replica thread.
 */
final class MigrationCapacity {

    private final Collection<WorkerCapacity> workers;
    private final WorkerSelector selector;

    MigrationCapacity(Collection<WorkerCapacity> workers, WorkerSelector selector) {
        this.workers = workers;
        this.selector = selector;
    }

    /**
     * Reserves capacity for a task on another worker if there is any.
     *
     * @param task the task and its requirements
     * @param currentWorker key of the worker that runs the task
     * @return true if capacity was reserved on another worker
     */
    boolean tryReserve(WaitingTask task, String currentWorker) {
        List<WorkerCapacity> others =
                workers.stream()
                        .filter(worker -> !worker.workerId().equals(currentWorker))
                        .toList();
        return !selector.reserve(task, 1, others).isEmpty();
    }
}
