package org.yuccabank.policy.eviction;

import org.yuccabank.model.TaskId;

/** An action on a batch task that protects urgent work. */
public sealed interface ProtectionAction {

    /**
     * Returns the task that the action applies to.
     *
     * @return its identifier
     */
    TaskId task();

    /**
     * Reduces the processors of the task.
     *
     * @param task the task
     */
    record Throttle(TaskId task) implements ProtectionAction {}

    /**
     * Ends the throttling of the task.
     *
     * @param task the task
     */
    record Release(TaskId task) implements ProtectionAction {}

    /**
     * Writes a checkpoint, stops the task and places it on another host.
     *
     * @param task the task
     */
    record Move(TaskId task) implements ProtectionAction {}

    /**
     * Stops the task without a checkpoint and places it on another host.
     *
     * @param task the task
     */
    record Stop(TaskId task) implements ProtectionAction {}
}
