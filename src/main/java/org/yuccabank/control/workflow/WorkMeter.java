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
final class WorkMeter {

    /** Part of a workflow's value that does not depend on its size. */
    private static final double FIXED_VALUE = 0.3;

    /** Keeps a density finite, in core-seconds. */
    private static final double LEAST_WORK = 1e-6;

    private final WorkflowRecords records;
    private final ToDoubleFunction<String> ratios;

    private WorkMeter(WorkflowRecords records, ToDoubleFunction<String> ratios) {
        this.records = records;
        this.ratios = ratios;
    }

    /** Measures with the mean work of each queue in the records. */
    static WorkMeter of(WorkflowRecords records, ToDoubleFunction<String> runTimeRatios) {
        return new WorkMeter(records, runTimeRatios);
    }

    /** Run times of a queue against their estimates. */
    double ratio(QueueDefinition queue) {
        return ratios.applyAsDouble(queue.getName());
    }

    double ratio(Workflow workflow) {
        return ratio(workflow.queue());
    }

    /** Core-seconds of the tasks of one occurrence that are not done. */
    double remainingWork(Workflow workflow, int occurrence) {
        double work = 0;
        for (int step : StepEstimates.steps(workflow)) {
            int left = workflow.tasksLeft(occurrence, step);
            work += left * Workflow.coreSecondsOfTask(workflow.step(step));
        }
        return work * ratio(workflow);
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
        return work * ratio(workflow);
    }

    /** Value of ending an occurrence in time for each core-second that it still needs. */
    double valueDensity(Workflow workflow, int occurrence) {
        return value(workflow.declaredCoreSeconds() * ratio(workflow), workflow.queue())
                / Math.max(LEAST_WORK, remainingWork(workflow, occurrence));
    }

    /** The same for work that is not accepted yet. */
    double freshDensity(WorkflowDefinition definition, QueueDefinition queue) {
        double work = Math.max(LEAST_WORK, Workflow.coreSeconds(definition) * ratio(queue));
        return value(work, queue) / work;
    }

    private double value(double work, QueueDefinition queue) {
        OptionalDouble declared = records.meanCoreSeconds(queue.getName());
        double mean = declared.isEmpty() ? work : declared.getAsDouble() * ratio(queue);
        return FIXED_VALUE * mean + (1 - FIXED_VALUE) * work;
    }
}
