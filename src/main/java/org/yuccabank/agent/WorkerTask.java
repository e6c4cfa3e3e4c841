package org.yuccabank.agent;

import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.TaskPhase;

/**
 * A task in the worker's listing. Immutable.
 *
 * @param taskId identifier of the task
 * @param token fencing token under which it was started
 * @param kind kind of work
 * @param phase phase of the task
 * @param reservation resources reserved for it
 * @param leaseEndMillis end of its lease on the agent's clock
 * @param checkpoint newest complete checkpoint generation
 * @param progress completed fraction, 0 to 1
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
