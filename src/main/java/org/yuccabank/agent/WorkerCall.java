package org.yuccabank.agent;

import org.yuccabank.model.Resources;

/**
 * A call to the worker about a task. Immutable.
 *
 * @param action the requested action
 * @param taskId identifier of the task
 * @param token fencing token of its lease
 * @param kind kind of work
 * @param account account that owns the task
 * @param reservation resources reserved for the task
 * @param leaseEndMillis end of the lease on the agent's clock
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

    /** An action of the worker. */
    enum Action {
        /** Starts the task; idempotent for the same token. */
        START,
        /** Extends the lease. */
        RENEW,
        /** Writes a checkpoint. */
        CHECKPOINT,
        /** Throttles the task. */
        THROTTLE,
        /** Ends the throttling. */
        UNTHROTTLE,
        /** Stops the task and refuses later starts with its token. */
        STOP
    }
}
