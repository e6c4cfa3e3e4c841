package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects the worker that keeps the most headroom, even if it is negative; the agent then throttles
 * the task. Prevents starvation of overdue work behind a backlog while most of the capacity is
 * free. Immutable.
 */
public final class MaximumHeadroomSelector implements WorkerSelector {

    @Override
    public Optional<WorkerCapacity> select(
            WaitingTask task, Collection<WorkerCapacity> candidates) {
        String image = task.load().image();
        return candidates.stream()
                .filter(worker -> worker.admits(task))
                .max(
                        Comparator.comparingDouble(
                                        (WorkerCapacity worker) -> worker.headroomWith(image, 1))
                                .thenComparingLong(WorkerCapacity::idleProcessorMillis)
                                .thenComparing(WorkerCapacity::workerId));
    }
}
