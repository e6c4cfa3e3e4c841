package org.yuccabank.agent;

import org.yuccabank.protocol.generated.TaskPhase;

/**
 * How a call to the worker ended. Immutable.
 *
 * @param kind whether the call took effect
 * @param phase phase of the task after the call, {@code TASK_PHASE_UNSPECIFIED} if not known
 * @param generation newest complete checkpoint generation
 * @param detail reason of a refusal
 */
record WorkerCallResult(Kind kind, TaskPhase phase, long generation, String detail) {

    /** Whether a call took effect. */
    enum Kind {
        /** The worker did what was asked. */
        DONE,
        /** The worker refused; the call had no effect. */
        REFUSED,
        /** The call surely did not reach the worker. */
        NOT_SENT,
        /** No answer came; the call may take effect, now or later. */
        UNCERTAIN
    }

    static WorkerCallResult of(Kind kind, String detail) {
        return new WorkerCallResult(kind, TaskPhase.TASK_PHASE_UNSPECIFIED, 0, detail);
    }

    static WorkerCallResult done(TaskPhase phase, long generation) {
        return new WorkerCallResult(Kind.DONE, phase, generation, "");
    }
}
