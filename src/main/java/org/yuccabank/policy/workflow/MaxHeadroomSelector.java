package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Puts a task where it does least harm, although serving tasks may not bear it; the agent slows it
 * down as far as they need. Answers the load in which work that is late already starves behind a
 * backlog, while most of the workers' room is free. Immutable.
 */
public final class MaxHeadroomSelector implements WorkerSelector {

    @Override
    public Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms) {
        String image = task.load().image();
        return rooms.stream()
                .filter(room -> room.admits(task))
                .max(
                        Comparator.comparingDouble((WorkerRoom room) -> room.headroomWith(image, 1))
                                .thenComparingLong(WorkerRoom::idleProcessorMillis)
                                .thenComparing(WorkerRoom::workerId));
    }
}
