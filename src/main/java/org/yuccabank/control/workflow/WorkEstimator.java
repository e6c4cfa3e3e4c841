package org.yuccabank.control.workflow;

import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Estimates the work of workflows, in core-seconds, from declared estimates, measured run times and
 * the tasks that are done. Not thread-safe.
 */
final class WorkEstimator {

    /** Fraction of a workflow's value that does not depend on its size. */
    private static final double FIXED_VALUE_FRACTION = 0.3;

    /** Lower bound on work that keeps a value density finite. */
    private static final double MINIMUM_CORE_SECONDS = 1e-6;

    private final WorkflowRecords records;
    private final ToDoubleFunction<String> runTimeRatios;

    private WorkEstimator(WorkflowRecords records, ToDoubleFunction<String> runTimeRatios) {
        this.records = records;
        this.runTimeRatios = runTimeRatios;
    }

    /** Creates an estimator that uses the mean work of each queue in the records. */
    static WorkEstimator of(WorkflowRecords records, ToDoubleFunction<String> runTimeRatios) {
        return new WorkEstimator(records, runTimeRatios);
    }

    /** Returns the ratio of the run times in a queue to their estimates. */
    double runTimeRatio(QueueDefinition queue) {
        return runTimeRatios.applyAsDouble(queue.getName());
    }

    double runTimeRatio(Workflow workflow) {
        return runTimeRatio(workflow.queue());
    }

    /** Returns the core-seconds of the tasks of an occurrence that are not done. */
    double remainingWork(Workflow workflow, int occurrence) {
        double work = 0;
        for (int step : StepEstimates.stepIndices(workflow)) {
            int remaining = workflow.remainingTasks(occurrence, step);
            work += remaining * Workflow.coreSecondsOfTask(workflow.step(step));
        }
        return work * runTimeRatio(workflow);
    }

    /**
     * Returns the core-seconds of the tasks of an occurrence that wait for a worker or for a
     * preceding step.
     */
    double waitingWork(Workflow workflow, int occurrence) {
        double work = 0;
        for (int step : StepEstimates.stepIndices(workflow)) {
            long waiting =
                    workflow.tasks(occurrence, step).stream()
                            .filter(WorkflowTask::isWaiting)
                            .count();
            work += waiting * Workflow.coreSecondsOfTask(workflow.step(step));
        }
        return work * runTimeRatio(workflow);
    }

    /** Returns the value of completing an occurrence in time per remaining core-second. */
    double valueDensity(Workflow workflow, int occurrence) {
        return value(workflow.declaredCoreSeconds() * runTimeRatio(workflow), workflow.queue())
                / Math.max(MINIMUM_CORE_SECONDS, remainingWork(workflow, occurrence));
    }

    /** Returns the value per core-second of a workflow that is not yet accepted. */
    double newWorkValueDensity(WorkflowDefinition definition, QueueDefinition queue) {
        double work =
                Math.max(
                        MINIMUM_CORE_SECONDS,
                        Workflow.coreSeconds(definition) * runTimeRatio(queue));
        return value(work, queue) / work;
    }

    private double value(double work, QueueDefinition queue) {
        OptionalDouble declared = records.meanCoreSeconds(queue.getName());
        double mean = declared.isEmpty() ? work : declared.getAsDouble() * runTimeRatio(queue);
        return FIXED_VALUE_FRACTION * mean + (1 - FIXED_VALUE_FRACTION) * work;
    }
}
