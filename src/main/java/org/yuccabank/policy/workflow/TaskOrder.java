package org.yuccabank.policy.workflow;

import java.util.List;

/** Orders waiting tasks. Implementations are immutable. */
@FunctionalInterface
public interface TaskOrder {

    /**
     * Returns the tasks in the order in which they should start.
     *
     * @param tasks the tasks
     * @param nowMillis current time, in milliseconds since the epoch
     * @return the ordered tasks
     */
    List<WaitingTask> order(List<WaitingTask> tasks, long nowMillis);
}
