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

/** Admission control for workflows, based on the backlog of work ahead of them. Stateless. */
final class AdmissionControl {

    private static final double MILLICORES_PER_CORE = 1_000.0;
    private static final double PERCENT = 100.0;

    private AdmissionControl() {}

    /**
     * Returns whether a submission is accepted or after which delay it should be retried. While no
     * worker is known, as after a leader change, the time to clear the backlog is unknown and every
     * submission is accepted.
     *
     * @return empty to accept the submission, otherwise the delay in milliseconds after which the
     *     client should retry
     */
    static OptionalLong retryAfterMillis(
            WorkflowDefinition definition,
            QueueDefinition queue,
            WorkflowRecords records,
            Collection<AvailableWorker> workers,
            WorkEstimator estimator,
            long nowMillis) {
        boolean bestEffort =
                definition.getStepsList().stream()
                        .anyMatch(
                                step ->
                                        StepEstimates.loadKind(step)
                                                == WaitingTask.LoadKind.BEST_EFFORT);
        if (!bestEffort || definition.getOccurrences() > 0 || workers.isEmpty()) {
            return OptionalLong.empty();
        }
        long criticalPathMillis = estimator.newCriticalPathMillis(definition, queue);
        long objectiveMillis = StepEstimates.objectiveMillis(queue, criticalPathMillis);
        double coreSecondsAhead = 0;
        double valueDensity = estimator.newWorkValueDensity(definition, queue);
        for (Workflow workflow : records.liveWorkflows()) {
            boolean aheadOfNew =
                    workflow.queue().getService().equals(queue.getService())
                            && workflow.queue().getPriority() <= queue.getPriority()
                            && !workflow.step(0).getLasting()
                            && estimator.valueDensity(workflow, 0) >= valueDensity
                            && estimator.hardDeadlineMillis(workflow, 0) > nowMillis;
            coreSecondsAhead += aheadOfNew ? estimator.waitingWork(workflow, 0) : 0;
        }
        BacklogAdmission.Backlog backlog =
                new BacklogAdmission.Backlog(coreSecondsAhead, bestEffortCores(records, workers));
        return BacklogAdmission.retryAfterMillis(
                backlog, criticalPathMillis, StepEstimates.HARD_DEADLINE_FACTOR * objectiveMillis);
    }

    /**
     * Returns the cores available to best-effort tasks. On a worker without serving tasks, these
     * are all cores that other tasks do not use; on a worker with serving tasks, the cores that its
     * best-effort tasks use at their current speed.
     */
    private static double bestEffortCores(
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
                        .filter(load -> load.kind() != WaitingTask.LoadKind.BEST_EFFORT)
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
                            .filter(load -> load.kind() == WaitingTask.LoadKind.BEST_EFFORT)
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
