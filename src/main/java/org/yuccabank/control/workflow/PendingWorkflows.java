package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkflowPhase;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Counts the workflows of which no task is known to have started. An assignment alone is no start,
 * as the worker may refuse it or not receive it.
 *
 * <p>Invariant: a workflow of which no task has started is always counted; one whose first start is
 * not reported yet may be counted, too. Stateless.
 */
final class PendingWorkflows {

    private PendingWorkflows() {}

    /**
     * Returns the number of pending workflows of a queue.
     *
     * @param live the workflows whose tasks may still start
     * @param queueName the queue
     * @param views returns what the agent of a worker has reported, empty if it has not reported
     */
    static int count(
            Collection<Workflow> live,
            String queueName,
            Function<WorkerIdentity, Optional<WorkerView>> views) {
        long pending =
                live.stream()
                        .filter(each -> each.queue().getName().equals(queueName))
                        .filter(each -> !hasStarted(each, views))
                        .count();
        return Math.toIntExact(pending);
    }

    private static boolean hasStarted(
            Workflow workflow, Function<WorkerIdentity, Optional<WorkerView>> views) {
        return workflow.phase() != WorkflowPhase.WORKFLOW_QUEUED
                && (workflow.hasStarted()
                        || workflow.allTasks().stream().anyMatch(task -> isWorking(task, views)));
    }

    private static boolean isWorking(
            WorkflowTask task, Function<WorkerIdentity, Optional<WorkerView>> views) {
        return task.worker().flatMap(views).filter(view -> view.isWorking(task.run())).isPresent();
    }
}
