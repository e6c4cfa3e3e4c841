package org.yuccabank.standin;

/**
 * Event on a stand-in worker, as ground truth for tests and reports. Immutable.
 *
 * @param atMillis time of the event on the clock of the worker
 * @param event type of the event
 * @param id identifier of the task, or key of the request
 * @param kind kind of work
 * @param token fencing token of the task; 0 for requests
 * @param generation checkpoint generation that was resumed or written
 * @param detail reason or further details; may be empty
 */
public record WorkerRecord(
        long atMillis,
        Event event,
        String id,
        String kind,
        long token,
        long generation,
        String detail) {

    /** Types of events. */
    public enum Event {
        /** A task started from the beginning. */
        TASK_STARTED,
        /** A task was resumed from a checkpoint. */
        TASK_RESUMED,
        /** A checkpoint was written. */
        TASK_CHECKPOINTED,
        /** A task was stopped on request. */
        TASK_STOPPED,
        /** A task was stopped because its lease ended. */
        TASK_LEASE_EXPIRED,
        /** A task finished successfully. */
        TASK_FINISHED,
        /** A task failed. */
        TASK_FAILED,
        /** A task was throttled or unthrottled. */
        TASK_THROTTLED,
        /** The worker rejected the start of a task. */
        TASK_REFUSED,
        /** The service instance started to run a request. */
        REQUEST_STARTED,
        /** The service instance finished a request. */
        REQUEST_FINISHED,
        /** The service instance rejected a request because no connection was free. */
        REQUEST_REFUSED
    }
}
