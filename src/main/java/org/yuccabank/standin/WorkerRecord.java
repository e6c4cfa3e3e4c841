package org.yuccabank.standin;

/**
 * Something that really happened on a stand-in worker. Immutable.
 *
 * @param atMillis time on the clock of the worker
 * @param event what happened
 * @param id identifier of the task, or key of the request
 * @param kind kind of work
 * @param token fencing token of the task, 0 for requests
 * @param generation checkpoint generation that was resumed or written
 * @param detail reason, or what else is worth knowing
 */
public record WorkerRecord(
        long atMillis,
        Event event,
        String id,
        String kind,
        long token,
        long generation,
        String detail) {

    /** What can happen on a worker. */
    public enum Event {
        /** A task began from nothing. */
        TASK_STARTED,
        /** A task began from a checkpoint. */
        TASK_RESUMED,
        /** A checkpoint was written. */
        TASK_CHECKPOINTED,
        /** A task was stopped on request. */
        TASK_STOPPED,
        /** A task stopped because its lease ended. */
        TASK_LEASE_EXPIRED,
        /** A task came to its end. */
        TASK_FINISHED,
        /** A task failed. */
        TASK_FAILED,
        /** A task was throttled or the throttle was taken off. */
        TASK_THROTTLED,
        /** A start was refused by the worker itself. */
        TASK_REFUSED,
        /** The service instance began to run a request. */
        REQUEST_STARTED,
        /** The service instance finished a request. */
        REQUEST_FINISHED,
        /** The service instance had no connection left for a request. */
        REQUEST_REFUSED
    }
}
