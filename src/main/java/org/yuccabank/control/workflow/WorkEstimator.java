package org.yuccabank.control.workflow;

import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Work of workflows in core-seconds, from their estimates and what is done already, at one moment.
 * Not thread-safe.
 */
final class WorkEstimator {

    /** Part of a workflow's value that does not depend on its size. */
    private static final double FIXED_VALUE_FRACTION = 0.3;

    /** Keeps a density finite, in core-seconds. */
    private static final double MINIMUM_CORE_SECONDS = 1e-6;

    private final WorkflowRecords records;
    private final ToDoubleFunction<String> runTimeRatios;

    private WorkEstimator(WorkflowRecords records, ToDoubleFunction<String> runTimeRatios) {
        this.records = records;
        this.runTimeRatios = runTimeRatios;
    }

    /** Measures with the mean work of each queue in the records. */
    static WorkEstimator of(WorkflowRecords records, ToDoubleFunction<String> runTimeRatios) {
        return new WorkEstimator(records, runTimeRatios);
    }

    /** Run times of a queue against their estimates. */
    double runTimeRatio(QueueDefinition queue) {
        return runTimeRatios.applyAsDouble(queue.getName());
    }

    double runTimeRatio(Workflow workflow) {
        return runTimeRatio(workflow.queue());
    }

    /** Core-seconds of the tasks of one occurrence that are not done. */
    double remainingWork(Workflow workflow, int occurrence) {
        double work = 0;
        for (int step : StepEstimates.steps(workflow)) {
            int left = workflow.tasksLeft(occurrence, step);
            work += left * Workflow.coreSecondsOfTask(workflow.step(step));
        }
        return work * runTimeRatio(workflow);
    }

    /** Core-seconds of the tasks of one occurrence that wait for a worker or for a step before. */
    double waitingWork(Workflow workflow, int occurrence) {
        double work = 0;
        for (int step : StepEstimates.steps(workflow)) {
            long waiting =
                    workflow.tasks(occurrence, step).stream()
                            .filter(WorkflowTask::isWaiting)
                            .count();
            work += waiting * Workflow.coreSecondsOfTask(workflow.step(step));
        }
        return work * runTimeRatio(workflow);
    }

    /** Value of ending an occurrence in time for each core-second that it still needs. */
    double valueDensity(Workflow workflow, int occurrence) {
        return value(workflow.declaredCoreSeconds() * runTimeRatio(workflow), workflow.queue())
                / Math.max(MINIMUM_CORE_SECONDS, remainingWork(workflow, occurrence));
    }

    /** The same for work that is not accepted yet. */
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
