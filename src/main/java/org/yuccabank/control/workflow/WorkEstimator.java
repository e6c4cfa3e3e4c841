package org.yuccabank.control.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;
import org.yuccabank.state.workflow.WorkflowRecords;
import org.yuccabank.state.workflow.WorkflowTask;

/**
 * Estimates the work of workflows, in core-seconds, and their deadlines from declared estimates,
 * measured run times and the tasks that are done. Not thread-safe.
 *
 * <p>An estimator serves one decision: what it has computed of an occurrence is reused, so the
 * records must not change while it is in use.
 */
final class WorkEstimator {

    /** Fraction of a workflow's value that does not depend on its size. */
    private static final double FIXED_VALUE_FRACTION = 0.3;

    /** Lower bound on work that keeps a value density finite. */
    private static final double MINIMUM_CORE_SECONDS = 1e-6;

    private final WorkflowRecords records;
    private final RunTimeEstimates runTimes;
    private final Map<OccurrenceKey, OccurrenceEstimate> occurrences = new HashMap<>();

    /** An occurrence of a workflow, which is compared by identity. */
    private record OccurrenceKey(Workflow workflow, int occurrence) {}

    /**
     * Estimates of an occurrence.
     *
     * @param remainingPathMillis time of the longest chain that starts with each step
     * @param objectiveMillis time in which the occurrence should end
     * @param valueDensity value of completing it in time per remaining core-second
     */
    private record OccurrenceEstimate(
            double[] remainingPathMillis, long objectiveMillis, double valueDensity) {}

    private WorkEstimator(WorkflowRecords records, RunTimeEstimates runTimes) {
        this.records = records;
        this.runTimes = runTimes;
    }

    /** Creates an estimator that uses the mean work of each queue in the records. */
    static WorkEstimator of(WorkflowRecords records, RunTimeEstimates runTimes) {
        return new WorkEstimator(records, runTimes);
    }

    private IntToDoubleFunction stepMillis(Workflow workflow, int occurrence) {
        String queueName = workflow.queue().getName();
        return step ->
                runTimes.runMillis(
                        queueName,
                        workflow.stepKey(occurrence, step),
                        workflow.step(step).getEstimatedMillis());
    }

    private IntToDoubleFunction newStepMillis(
            WorkflowDefinition definition, QueueDefinition queue) {
        return step ->
                runTimes.runMillis(
                        queue.getName(), "", definition.getSteps(step).getEstimatedMillis());
    }

    private OccurrenceEstimate estimate(Workflow workflow, int occurrence) {
        return occurrences.computeIfAbsent(
                new OccurrenceKey(workflow, occurrence), key -> computeEstimate(key));
    }

    private OccurrenceEstimate computeEstimate(OccurrenceKey key) {
        WorkflowDefinition definition = key.workflow().definition();
        IntToDoubleFunction stepMillis = stepMillis(key.workflow(), key.occurrence());
        double[] runMillis =
                IntStream.range(0, definition.getStepsCount())
                        .mapToDouble(stepMillis::applyAsDouble)
                        .toArray();
        double[] paths = StepEstimates.remainingPathMillis(definition, step -> runMillis[step]);
        double remainingWork =
                Workflow.coreSeconds(
                        definition,
                        step -> key.workflow().remainingTasks(key.occurrence(), step),
                        step -> runMillis[step]);
        return new OccurrenceEstimate(
                paths,
                StepEstimates.objectiveMillis(
                        key.workflow().queue(), StepEstimates.criticalPathMillis(paths)),
                value(totalWork(definition, step -> runMillis[step]), key.workflow().queue())
                        / Math.max(MINIMUM_CORE_SECONDS, remainingWork));
    }

    /** Returns the expected time of the longest chain of steps that starts with a step. */
    long remainingPathMillis(Workflow workflow, int occurrence, int step) {
        return Math.round(estimate(workflow, occurrence).remainingPathMillis()[step]);
    }

    /** Returns the expected time of the longest chain of steps of a workflow not yet accepted. */
    long newCriticalPathMillis(WorkflowDefinition definition, QueueDefinition queue) {
        return Math.round(
                StepEstimates.criticalPathMillis(
                        StepEstimates.remainingPathMillis(
                                definition, newStepMillis(definition, queue))));
    }

    /** Returns the time in which an occurrence should end, counted from its start. */
    long objectiveMillis(Workflow workflow, int occurrence) {
        return estimate(workflow, occurrence).objectiveMillis();
    }

    /** Returns the time after which an occurrence has no value, in milliseconds since the epoch. */
    long hardDeadlineMillis(Workflow workflow, int occurrence) {
        return StepEstimates.startMillis(workflow, occurrence)
                + StepEstimates.HARD_DEADLINE_FACTOR * objectiveMillis(workflow, occurrence);
    }

    /**
     * Returns the core-seconds of the tasks of an occurrence that wait for a worker or for a
     * preceding step.
     */
    double waitingWork(Workflow workflow, int occurrence) {
        return Workflow.coreSeconds(
                workflow.definition(),
                step ->
                        Math.toIntExact(
                                workflow.tasks(occurrence, step).stream()
                                        .filter(WorkflowTask::isWaiting)
                                        .count()),
                stepMillis(workflow, occurrence));
    }

    /** Returns the value of completing an occurrence in time per remaining core-second. */
    double valueDensity(Workflow workflow, int occurrence) {
        return estimate(workflow, occurrence).valueDensity();
    }

    /** Returns the value per core-second of a workflow that is not yet accepted. */
    double newWorkValueDensity(WorkflowDefinition definition, QueueDefinition queue) {
        double work =
                Math.max(
                        MINIMUM_CORE_SECONDS,
                        totalWork(definition, newStepMillis(definition, queue)));
        return value(work, queue) / work;
    }

    private static double totalWork(WorkflowDefinition definition, IntToDoubleFunction runMillis) {
        return Workflow.coreSeconds(
                definition, step -> definition.getSteps(step).getTaskCount(), runMillis);
    }

    private double value(double work, QueueDefinition queue) {
        OptionalDouble declared = records.meanCoreSeconds(queue.getName());
        double mean = declared.orElse(work);
        return FIXED_VALUE_FRACTION * mean + (1 - FIXED_VALUE_FRACTION) * work;
    }
}
