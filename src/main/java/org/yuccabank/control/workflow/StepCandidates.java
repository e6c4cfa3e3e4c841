package org.yuccabank.control.workflow;

import java.util.List;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Waiting tasks of one step, either all or none of which are suspected of crashing their worker.
 * Their requirements are equal, so one task represents them all. Immutable.
 *
 * @param representative one of the tasks with its requirements
 * @param tasks the tasks, at least one
 */
record StepCandidates(WaitingTask representative, List<WorkflowTask> tasks) {

    String workflowId() {
        return tasks.get(0).workflow().id();
    }

    boolean isGang() {
        return step().getGang();
    }

    boolean isLasting() {
        return step().getLasting();
    }

    private StepDefinition step() {
        return tasks.get(0).workflow().step(tasks.get(0).address().getStep());
    }

    /** Returns whether the tasks have to start apart from others; a gang as soon as one has to. */
    boolean isSuspect() {
        return tasks.stream().anyMatch(CrashSuspects::isSuspect);
    }
}
