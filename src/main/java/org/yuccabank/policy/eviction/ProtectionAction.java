package org.yuccabank.policy.eviction;

import org.yuccabank.model.TaskId;

/** What is done to a batch task to protect urgent work. */
public sealed interface ProtectionAction {

    /**
     * The task that is concerned.
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
     * Writes a checkpoint, stops the task and places it elsewhere.
     *
     * @param task the task
     */
    record Move(TaskId task) implements ProtectionAction {}

    /**
     * Stops the task at once and places it elsewhere.
     *
     * @param task the task
     */
    record Stop(TaskId task) implements ProtectionAction {}
}
