package org.yuccabank.agent;

import org.yuccabank.protocol.generated.TaskPhase;

/**
 * The result of a call to the worker. Immutable.
 *
 * @param kind whether the call took effect
 * @param phase phase of the task after the call, {@code TASK_PHASE_UNSPECIFIED} if unknown
 * @param generation newest complete checkpoint generation
 * @param detail reason for a refusal or failure, otherwise empty
 */
record WorkerCallResult(Kind kind, TaskPhase phase, long generation, String detail) {

    /** The outcome of a call: tells whether it took effect. */
    enum Kind {
        /** The worker performed the action. */
        DONE,
        /** The worker refused; the call had no effect. */
        REFUSED,
        /** The call certainly did not reach the worker. */
        NOT_SENT,
        /** No valid reply was received; the call may have taken effect or may do so later. */
        UNCERTAIN
    }

    static WorkerCallResult of(Kind kind, String detail) {
        return new WorkerCallResult(kind, TaskPhase.TASK_PHASE_UNSPECIFIED, 0, detail);
    }

    static WorkerCallResult done(TaskPhase phase, long generation) {
        return new WorkerCallResult(Kind.DONE, phase, generation, "");
    }
}
