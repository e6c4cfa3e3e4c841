package org.yuccabank.policy.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Chooses the worker of a task. Implementations are immutable. */
@FunctionalInterface
public interface WorkerSelector {

    /**
     * Chooses a worker.
     *
     * @param task the task
     * @param rooms what the workers offer
     * @return the worker, empty if none admits the task
     */
    Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms);

    /**
     * Chooses workers for tasks that ask for the same, and reserves room for each of them.
     *
     * @param task one of the tasks
     * @param count number of the tasks
     * @param rooms what the workers offer
     * @return a worker for each task that found one, fewer than the tasks if room is short
     */
    default List<WorkerRoom> reserve(WaitingTask task, int count, Collection<WorkerRoom> rooms) {
        List<WorkerRoom> chosen = new ArrayList<>();
        while (chosen.size() < count) {
            Optional<WorkerRoom> room = choose(task, rooms);
            if (room.isEmpty()) {
                break;
            }
            room.get().reserve(task.stepKey(), task.resources(), task.load());
            chosen.add(room.get());
        }
        return chosen;
    }
}
