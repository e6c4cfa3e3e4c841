package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.List;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.policy.workflow.WorkerRoom;
import org.yuccabank.policy.workflow.WorkerSelector;

/**
 * The rooms of the workers at one moment, for tasks that run and may be better off elsewhere.
 *
 * <p>Invariant: room that was promised to one task is not promised to another. Confined to the
 * thread of the replica.
 */
final class MigrationCapacity {

    private final Collection<WorkerRoom> rooms;
    private final WorkerSelector selector;

    MigrationCapacity(Collection<WorkerRoom> rooms, WorkerSelector selector) {
        this.rooms = rooms;
        this.selector = selector;
    }

    /**
     * Promises a task room on another worker.
     *
     * @param task what the task asks for
     * @param currentWorker key of the worker that it runs on
     * @return true if another worker would take it now
     */
    boolean tryReserve(WaitingTask task, String currentWorker) {
        List<WorkerRoom> others =
                rooms.stream().filter(room -> !room.workerId().equals(currentWorker)).toList();
        return !selector.reserve(task, 1, others).isEmpty();
    }
}
