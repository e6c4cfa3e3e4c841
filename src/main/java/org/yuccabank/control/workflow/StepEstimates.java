package org.yuccabank.control.workflow;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.workflow.WaitingTask;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.Workflow;

/** Placement parameters derived from the definition of a workflow. Stateless. */
final class StepEstimates {

    /** A workflow that takes longer than this multiple of its objective has no value. */
    static final int HARD_DEADLINE_FACTOR = 3;

    /**
     * Fraction of its reserved processors that a serving task is assumed to use. The idle
     * processors of their workers show that the actual share varies around a half, so the
     * assumption is conservative.
     */
    static final double SERVING_UTILISATION = 0.6;

    private StepEstimates() {}

    /**
     * Returns for each step the expected time of the longest chain of dependent steps that starts
     * with it. A step depends on earlier steps only, so one pass suffices.
     *
     * @param stepMillis expected run time of a task of each step
     */
    static double[] remainingPathMillis(
            WorkflowDefinition definition, IntToDoubleFunction stepMillis) {
        double[] longest = new double[definition.getStepsCount()];
        for (int step = longest.length - 1; step >= 0; step--) {
            longest[step] += stepMillis.applyAsDouble(step);
            for (int dependency : definition.getSteps(step).getDependsOnList()) {
                longest[dependency] = Math.max(longest[dependency], longest[step]);
            }
        }
        return longest;
    }

    /** Returns the expected time of the longest of some chains of dependent steps. */
    static double criticalPathMillis(double[] remainingPathMillis) {
        return Arrays.stream(remainingPathMillis).max().orElse(0);
    }

    /**
     * Returns the time in which a workflow should end, counted from its submission or due time.
     *
     * @param criticalPathMillis expected time of its longest chain of dependent steps
     */
    static long objectiveMillis(QueueDefinition queue, double criticalPathMillis) {
        return Math.round(queue.getSlackFactor() * criticalPathMillis)
                + queue.getCompletionTargetMillis();
    }

    static WaitingTask.LoadKind loadKind(StepDefinition step) {
        if (step.getLasting()) {
            return WaitingTask.LoadKind.SERVING;
        }
        return step.getImage().isEmpty()
                ? WaitingTask.LoadKind.PLAIN
                : WaitingTask.LoadKind.BEST_EFFORT;
    }

    /** Returns the load that a task of a step puts on its worker. */
    static WaitingTask.Load load(StepDefinition step) {
        WaitingTask.LoadKind kind = loadKind(step);
        long declared = step.getResources().getProcessorMillis();
        boolean serving = kind == WaitingTask.LoadKind.SERVING;
        long used = serving ? Math.round(SERVING_UTILISATION * declared) : declared;
        return new WaitingTask.Load(kind, step.getImage(), used, step.getMostPerWorker() > 0);
    }

    /**
     * Returns the resources that a task of a step reserves. An opportunistic task reserves no
     * processors.
     */
    static Resources resources(StepDefinition step) {
        ResourceVector vector = reservation(step);
        return Resources.of(
                vector.getProcessorMillis(), vector.getMemoryMebibytes(), vector.getAccelerators());
    }

    /** Returns the same as {@link #resources}, for agents. */
    static ResourceVector reservation(StepDefinition step) {
        ResourceVector declared = step.getResources();
        return step.getOpportunistic()
                ? declared.toBuilder().clearProcessorMillis().build()
                : declared;
    }

    static long startMillis(Workflow workflow, int occurrence) {
        return workflow.definition().getOccurrences() == 0
                ? workflow.acceptedAtMillis()
                : workflow.dueMillis(occurrence);
    }

    static List<Integer> stepIndices(Workflow workflow) {
        return IntStream.range(0, workflow.definition().getStepsCount()).boxed().toList();
    }
}
