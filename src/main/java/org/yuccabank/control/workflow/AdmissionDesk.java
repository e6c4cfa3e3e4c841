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
final class AdmissionDesk {

    private static final double CORE_MILLIS = 1_000.0;
    private static final double WHOLE = 100.0;

    private AdmissionDesk() {}

    /**
     * Decides on a submission. While no worker is known, as after a change of leader, nothing is
     * known about the backlog's end either and nothing is refused.
     *
     * @return empty to accept it; else after how many milliseconds the caller should come back
     */
    static OptionalLong refuse(
            WorkflowDefinition definition,
            QueueDefinition queue,
            WorkflowRecords records,
            Collection<WorkerOffer> offers,
            WorkMeter meter,
            long nowMillis) {
        boolean filling =
                definition.getStepsList().stream()
                        .anyMatch(
                                step ->
                                        StepEstimates.loadKind(step)
                                                == WaitingTask.LoadKind.FILLING);
        if (!filling || definition.getOccurrences() > 0 || offers.isEmpty()) {
            return OptionalLong.empty();
        }
        double ratio = meter.ratio(queue);
        long objective = StepEstimates.objectiveMillis(definition, queue, ratio);
        double ahead = 0;
        double density = meter.freshDensity(definition, queue);
        for (Workflow workflow : records.liveWorkflows()) {
            boolean first =
                    workflow.queue().getService().equals(queue.getService())
                            && workflow.queue().getPriority() <= queue.getPriority()
                            && !workflow.step(0).getLasting()
                            && meter.valueDensity(workflow, 0) >= density
                            && StepEstimates.lateMillis(workflow, 0, meter.ratio(workflow.queue()))
                                    > nowMillis;
            ahead += first ? meter.waitingWork(workflow, 0) : 0;
        }
        BacklogAdmission.Backlog backlog =
                new BacklogAdmission.Backlog(ahead, fillingCores(records, offers));
        return BacklogAdmission.refuse(
                backlog,
                Math.round(ratio * StepEstimates.longestChainMillis(definition)),
                StepEstimates.LATE_FACTOR * objective);
    }

    /**
     * Cores that filling tasks have: all that is idle on a worker without serving tasks, and what
     * the tasks that run beside serving ones are allowed to use now.
     */
    private static double fillingCores(WorkflowRecords records, Collection<WorkerOffer> offers) {
        double millis = 0;
        for (WorkerOffer offer : offers) {
            List<StepDefinition> steps =
                    records.openRuns(offer.report().getWorker()).stream()
                            .map(AdmissionDesk::step)
                            .toList();
            boolean serves = steps.stream().anyMatch(StepDefinition::getLasting);
            millis += serves ? usedMillis(records, offer) : idleMillis(steps, offer);
        }
        return millis / CORE_MILLIS;
    }

    private static double idleMillis(List<StepDefinition> steps, WorkerOffer offer) {
        long used =
                steps.stream()
                        .map(StepEstimates::load)
                        .filter(load -> load.kind() != WaitingTask.LoadKind.FILLING)
                        .mapToLong(WaitingTask.Load::expectedProcessorMillis)
                        .sum();
        return Math.max(0, offer.report().getCapacity().getProcessorMillis() - used);
    }

    private static double usedMillis(WorkflowRecords records, WorkerOffer offer) {
        double used = 0;
        for (ActiveRun run : offer.report().getActiveList()) {
            used +=
                    records.openRun(run.getRun())
                            .map(AdmissionDesk::step)
                            .map(StepEstimates::load)
                            .filter(load -> load.kind() == WaitingTask.LoadKind.FILLING)
                            .map(
                                    load ->
                                            load.expectedProcessorMillis()
                                                    * (1 - run.getSlowedByPercent() / WHOLE))
                            .orElse(0.0);
        }
        return used;
    }

    private static StepDefinition step(WorkflowTask task) {
        return task.workflow().step(task.address().getStep());
    }
}
