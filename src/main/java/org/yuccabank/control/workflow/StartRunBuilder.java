package org.yuccabank.control.workflow;

import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.StartRun;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowTask;

/** Builds start directives for agents from the records. Stateless. */
final class StartRunBuilder {

    private StartRunBuilder() {}

    /**
     * Returns the start directive for the open run of a task. The members of a gang share one
     * checkpoint.
     */
    static StartRun build(WorkflowTask task) {
        Workflow workflow = task.workflow();
        StepDefinition step = workflow.step(task.address().getStep());
        return StartRun.newBuilder()
                .setRun(task.run())
                .setPayload(workflow.definition().getPayload())
                .setCheckpoint(checkpoint(task, step))
                .setLatencyTargetMillis(step.getLatencyTargetMillis())
                .setImage(step.getImage())
                .setGang(step.getGang())
                .setReservation(StepEstimates.reservation(step))
                .setFilling(StepEstimates.loadKind(step) == WaitingTask.LoadKind.BEST_EFFORT)
                .setLogOmitted(workflow.definition().getLogOmitted())
                .build();
    }

    private static String checkpoint(WorkflowTask task, StepDefinition step) {
        if (!step.getGang()) {
            return task.checkpoint();
        }
        return task
                .workflow()
                .tasks(task.address().getOccurrence(), task.address().getStep())
                .stream()
                .map(WorkflowTask::checkpoint)
                .max(String::compareTo)
                .orElse("");
    }
}
