package org.yuccabank.control.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.StepDefinition;
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

    private static final double MILLIS_MILLIS = 1_000_000.0;

    /** Keeps a density finite, in core-seconds. */
    private static final double LEAST_WORK = 1e-6;

    private final Map<String, double[]> sums = new HashMap<>();
    private final ToDoubleFunction<String> ratios;

    private WorkMeter(ToDoubleFunction<String> ratios) {
        this.ratios = ratios;
    }

    /** Measures the mean work of each queue. */
    static WorkMeter of(WorkflowRecords records, ToDoubleFunction<String> runTimeRatios) {
        WorkMeter meter = new WorkMeter(runTimeRatios);
        for (Workflow workflow : records.workflows()) {
            double[] sum =
                    meter.sums.computeIfAbsent(workflow.queue().getName(), name -> new double[2]);
            sum[0] += meter.wholeWork(workflow);
            sum[1]++;
        }
        return meter;
    }

    /** Run times of a queue against their estimates. */
    double ratio(QueueDefinition queue) {
        return ratios.applyAsDouble(queue.getName());
    }

    double ratio(Workflow workflow) {
        return ratio(workflow.queue());
    }

    /** Core-seconds of one occurrence. */
    private double wholeWork(WorkflowDefinition definition, QueueDefinition queue) {
        double work = 0;
        for (StepDefinition step : definition.getStepsList()) {
            work += step.getTaskCount() * taskWork(step);
        }
        return work * ratio(queue);
    }

    private double wholeWork(Workflow workflow) {
        return wholeWork(workflow.definition(), workflow.queue());
    }

    /** Core-seconds of the tasks of one occurrence that are not done. */
    double remainingWork(Workflow workflow, int occurrence) {
        double work = 0;
        for (int step : StepEstimates.steps(workflow)) {
            if (!workflow.isDone(occurrence, step)) {
                long left =
                        workflow.tasks(occurrence, step).stream()
                                .filter(task -> !task.isDone())
                                .count();
                work += left * taskWork(workflow.step(step));
            }
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
            work += waiting * taskWork(workflow.step(step));
        }
        return work * ratio(workflow);
    }

    private static double taskWork(StepDefinition step) {
        return step.getResources().getProcessorMillis()
                * (double) step.getEstimatedMillis()
                / MILLIS_MILLIS;
    }

    /** Value of ending an occurrence in time for each core-second that it still needs. */
    double valueDensity(Workflow workflow, int occurrence) {
        return value(wholeWork(workflow), workflow.queue())
                / Math.max(LEAST_WORK, remainingWork(workflow, occurrence));
    }

    /** The same for work that is not accepted yet. */
    double freshDensity(WorkflowDefinition definition, QueueDefinition queue) {
        double work = Math.max(LEAST_WORK, wholeWork(definition, queue));
        return value(work, queue) / work;
    }

    private double value(double work, QueueDefinition queue) {
        double[] sum = sums.get(queue.getName());
        double mean = sum == null ? work : sum[0] / sum[1];
        return FIXED_VALUE * mean + (1 - FIXED_VALUE) * work;
    }
}
