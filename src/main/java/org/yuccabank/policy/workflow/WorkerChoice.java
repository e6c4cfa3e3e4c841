package org.yuccabank.policy.workflow;

import java.util.Collection;
import java.util.Optional;

/** Chooses the worker of a task. Implementations are immutable. */
@FunctionalInterface
public interface WorkerChoice {

    /**
     * Chooses a worker.
     *
     * @param task the task
     * @param rooms what the workers offer
     * @return the worker, empty if none admits the task
     */
    Optional<WorkerRoom> choose(WaitingTask task, Collection<WorkerRoom> rooms);
}
