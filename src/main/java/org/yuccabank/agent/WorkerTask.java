package org.yuccabank.agent;

import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.TaskPhase;

/**
 * One task as the worker lists it. Immutable.
 *
 * @param taskId identifier of the task
 * @param token fencing token under which it was started
 * @param kind kind of work
 * @param phase what the worker knows of it
 * @param reservation resources reserved for it
 * @param leaseEndMillis end of its lease on the clock of the agent
 * @param checkpoint newest complete checkpoint generation
 * @param progress finished share, 0 to 1
 * @param usage resources in use
 * @param throttled whether it is throttled
 */
record WorkerTask(
        String taskId,
        long token,
        String kind,
        TaskPhase phase,
        Resources reservation,
        long leaseEndMillis,
        long checkpoint,
        double progress,
        Resources usage,
        boolean throttled) {

    boolean isActive() {
        return phase == TaskPhase.TASK_RUNNING || phase == TaskPhase.TASK_STARTING;
    }
}
