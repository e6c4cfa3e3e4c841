package org.yuccabank.policy.workflow;

import java.util.List;

/** Orders the tasks that wait. Implementations are immutable. */
@FunctionalInterface
public interface TaskOrder {

    /**
     * Orders tasks, the one that should start first at the front.
     *
     * @param tasks the tasks
     * @param nowMillis present time, in milliseconds since 1970
     * @return the ordered tasks
     */
    List<WaitingTask> order(List<WaitingTask> tasks, long nowMillis);
}
