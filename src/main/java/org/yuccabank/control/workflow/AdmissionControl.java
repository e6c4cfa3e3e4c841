package org.yuccabank.control.workflow;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import org.yuccabank.policy.workflow.BacklogAdmission;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.ActiveRun;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/** Measures the backlog that new work would meet. Has no state. */
final class AdmissionControl {

    private static final double MILLICORES_PER_CORE = 1_000.0;
    private static final double PERCENT = 100.0;

    private AdmissionControl() {}

    /**
     * Decides on a submission. While no worker is known, as after a change of leader, nothing is
     * known about the backlog's end either and nothing is refused.
     *
     * @return empty to accept it; else after how many milliseconds the caller should come back
     */
    static OptionalLong retryAfterMillis(
            WorkflowDefinition definition,
            QueueDefinition queue,
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            WorkEstimator estimator,
            long nowMillis) {
        boolean filling =
                definition.getStepsList().stream()
                        .anyMatch(
                                step ->
                                        StepEstimates.loadKind(step)
                                                == WaitingTask.LoadKind.FILLING);
        if (!filling || definition.getOccurrences() > 0 || workers.isEmpty()) {
            return OptionalLong.empty();
        }
        double ratio = estimator.runTimeRatio(queue);
        long objective = StepEstimates.objectiveMillis(definition, queue, ratio);
        double coreSecondsAhead = 0;
        double valueDensity = estimator.newWorkValueDensity(definition, queue);
        for (Workflow workflow : records.liveWorkflows()) {
            boolean aheadOfNew =
                    workflow.queue().getService().equals(queue.getService())
                            && workflow.queue().getPriority() <= queue.getPriority()
                            && !workflow.step(0).getLasting()
                            && estimator.valueDensity(workflow, 0) >= valueDensity
                            && StepEstimates.hardDeadlineMillis(
                                            workflow, 0, estimator.runTimeRatio(workflow.queue()))
                                    > nowMillis;
            coreSecondsAhead += aheadOfNew ? estimator.waitingWork(workflow, 0) : 0;
        }
        BacklogAdmission.Backlog backlog =
                new BacklogAdmission.Backlog(coreSecondsAhead, coresForFilling(records, workers));
        return BacklogAdmission.refuse(
                backlog,
                Math.round(ratio * StepEstimates.criticalPathMillis(definition)),
                StepEstimates.HARD_DEADLINE_FACTOR * objective);
    }

    /**
     * Cores that filling tasks have: all that is idle on a worker without serving tasks, and what
     * the tasks that run beside serving ones are allowed to use now.
     */
    private static double coresForFilling(
            WorkflowRecords records, Collection<AvailableWorker> workers) {
        double millicores = 0;
        for (AvailableWorker worker : workers) {
            List<StepDefinition> steps =
                    records.openRuns(worker.report().getWorker()).stream()
                            .map(AdmissionControl::step)
                            .toList();
            boolean serving = steps.stream().anyMatch(StepDefinition::getLasting);
            millicores += serving ? usedMillicores(records, worker) : idleMillicores(steps, worker);
        }
        return millicores / MILLICORES_PER_CORE;
    }

    private static double idleMillicores(List<StepDefinition> steps, AvailableWorker worker) {
        long used =
                steps.stream()
                        .map(StepEstimates::load)
                        .filter(load -> load.kind() != WaitingTask.LoadKind.FILLING)
                        .mapToLong(WaitingTask.Load::expectedProcessorMillis)
                        .sum();
        return Math.max(0, worker.report().getCapacity().getProcessorMillis() - used);
    }

    private static double usedMillicores(WorkflowRecords records, AvailableWorker worker) {
        double used = 0;
        for (ActiveRun run : worker.report().getActiveList()) {
            used +=
                    records.openRun(run.getRun())
                            .map(AdmissionControl::step)
                            .map(StepEstimates::load)
                            .filter(load -> load.kind() == WaitingTask.LoadKind.FILLING)
                            .map(
                                    load ->
                                            load.expectedProcessorMillis()
                                                    * (1 - run.getSlowedByPercent() / PERCENT))
                            .orElse(0.0);
        }
        return used;
    }

    private static StepDefinition step(WorkflowTask task) {
        return task.workflow().step(task.address().getStep());
    }
}
