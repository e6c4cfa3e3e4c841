package org.yuccabank.agent;

import org.yuccabank.model.Resources;

/**
 * One call to the worker about a task. Immutable.
 *
 * @param action what the worker is asked to do
 * @param taskId identifier of the task
 * @param token fencing token of its lease
 * @param kind kind of work
 * @param account account that owns the task
 * @param reservation resources reserved for the task
 * @param leaseEndMillis end of the lease on the clock of the agent
 * @param generation checkpoint generation to resume from or to write
 * @param runTimeMillis declared run time
 */
record WorkerCall(
        Action action,
        String taskId,
        long token,
        String kind,
        String account,
        Resources reservation,
        long leaseEndMillis,
        long generation,
        long runTimeMillis) {

    /** What the worker is asked to do. */
    enum Action {
        /** Start the task; a repeated call with the same token changes nothing. */
        START,
        /** Extend the lease. */
        RENEW,
        /** Write a checkpoint. */
        CHECKPOINT,
        /** Slow the task down. */
        THROTTLE,
        /** End the slow-down. */
        UNTHROTTLE,
        /** Stop the task and refuse later starts with its token. */
        STOP
    }
}
