package org.yuccabank.control.workflow;

import java.util.List;
import java.util.stream.IntStream;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;

/** What follows from the definition of a workflow for its placement. Has no state. */
final class StepEstimates {

    /** A workflow that takes longer than this many times its objective is worth nothing. */
    static final int HARD_DEADLINE_FACTOR = 3;

    /**
     * Part of its processors that a serving task uses, on the high side: they serve loads that
     * swing around half of what they reserve, as their workers' idle processors show.
     */
    static final double SERVING_UTILIZATION = 0.6;

    private StepEstimates() {}

    /** Estimated time of the longest chain of steps that begins with a step. */
    static long remainingPathMillis(WorkflowDefinition definition, int step) {
        long longest = 0;
        for (int next = step + 1; next < definition.getStepsCount(); next++) {
            if (definition.getSteps(next).getDependsOnList().contains(step)) {
                longest = Math.max(longest, remainingPathMillis(definition, next));
            }
        }
        return definition.getSteps(step).getEstimatedMillis() + longest;
    }

    /** Estimated time of the longest chain of steps. */
    static long criticalPathMillis(WorkflowDefinition definition) {
        long longest = 0;
        for (int step = 0; step < definition.getStepsCount(); step++) {
            longest = Math.max(longest, remainingPathMillis(definition, step));
        }
        return longest;
    }

    /** Time from the submission, or the due time, in which a workflow should end. */
    static long objectiveMillis(
            WorkflowDefinition definition, QueueDefinition queue, double runTimeRatio) {
        double pathMillis = runTimeRatio * criticalPathMillis(definition);
        return Math.round(queue.getSlackFactor() * pathMillis) + queue.getCompletionTargetMillis();
    }

    static long objectiveMillis(Workflow workflow, double runTimeRatio) {
        return objectiveMillis(workflow.definition(), workflow.queue(), runTimeRatio);
    }

    static WaitingTask.LoadKind loadKind(StepDefinition step) {
        if (step.getLasting()) {
            return WaitingTask.LoadKind.SERVING;
        }
        return step.getImage().isEmpty()
                ? WaitingTask.LoadKind.PLAIN
                : WaitingTask.LoadKind.FILLING;
    }

    /** What a task of a step does to the others on its worker. */
    static WaitingTask.Load load(StepDefinition step) {
        WaitingTask.LoadKind kind = loadKind(step);
        long declared = step.getResources().getProcessorMillis();
        boolean serving = kind == WaitingTask.LoadKind.SERVING;
        long used = serving ? Math.round(SERVING_UTILIZATION * declared) : declared;
        return new WaitingTask.Load(kind, step.getImage(), used, step.getMostPerWorker() > 0);
    }

    /** What a task reserves; an opportunistic one reserves no processors. */
    static Resources resources(StepDefinition step) {
        ResourceVector vector = step.getResources();
        return Resources.of(
                step.getOpportunistic() ? 0 : vector.getProcessorMillis(),
                vector.getMemoryMebibytes(),
                vector.getAccelerators());
    }

    static long startMillis(Workflow workflow, int occurrence) {
        return workflow.definition().getOccurrences() == 0
                ? workflow.acceptedAtMillis()
                : workflow.dueMillis(occurrence);
    }

    static long hardDeadlineMillis(Workflow workflow, int occurrence, double runTimeRatio) {
        return startMillis(workflow, occurrence)
                + HARD_DEADLINE_FACTOR * objectiveMillis(workflow, runTimeRatio);
    }

    static List<Integer> steps(Workflow workflow) {
        return IntStream.range(0, workflow.definition().getStepsCount()).boxed().toList();
    }
}
