package org.yuccabank.state.workflow;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkflowDefinition;

/**
 * Limits of a workflow definition. They bound the memory that each replica spends on a workflow and
 * the time that a planning round spends on it, both of which may be far larger than the definition.
 * Stateless.
 */
public final class WorkflowLimits {

    /** Steps of a workflow; a planning round examines each of them. */
    public static final int MAXIMUM_STEPS = 2_000;

    /** Dependencies of all steps; a planning round follows each of them. */
    public static final int MAXIMUM_DEPENDENCIES = 20_000;

    /** Tasks of all occurrences; each replica holds a record of each task in memory. */
    public static final int MAXIMUM_TASKS = 20_000;

    /** Occurrences of a workflow; a planning round examines those that are due. */
    public static final int MAXIMUM_OCCURRENCES = 1_000;

    /** Largest amount of a resource that a task may declare, in the unit of the resource. */
    public static final long MAXIMUM_AMOUNT = 1_000_000_000;

    /** Largest time or duration: a thousand years in milliseconds, so that sums do not overflow. */
    public static final long MAXIMUM_MILLIS = 1_000L * 366 * 24 * 3_600 * 1_000;

    /**
     * Elements of all workflows that are not final: their tasks and dependencies, which a planning
     * round examines. Several times the tasks that run on the largest fleet.
     */
    public static final long MAXIMUM_LIVE_ELEMENTS = 100_000;

    /** Elements of all workflows in memory, at about 100 bytes each. */
    public static final long MAXIMUM_RETAINED_ELEMENTS = 400_000;

    private WorkflowLimits() {}

    /**
     * Returns the number of tasks and dependencies of a workflow in all of its occurrences.
     *
     * @param definition a definition that keeps to the limits
     * @return the number of elements
     */
    public static long elements(WorkflowDefinition definition) {
        long elements =
                definition.getStepsList().stream()
                        .mapToLong(step -> step.getTaskCount() + step.getDependsOnCount())
                        .sum();
        return elements * Math.max(1, definition.getOccurrences());
    }

    /**
     * Returns why a definition is not accepted.
     *
     * @param definition the definition
     * @return the first limit that it exceeds, empty if it keeps to all of them
     */
    public static Optional<String> violation(WorkflowDefinition definition) {
        List<StepDefinition> steps = definition.getStepsList();
        int occurrences = Math.max(1, definition.getOccurrences());
        if (steps.size() > MAXIMUM_STEPS) {
            return exceeded("steps", MAXIMUM_STEPS);
        }
        if (occurrences > MAXIMUM_OCCURRENCES) {
            return exceeded("occurrences", MAXIMUM_OCCURRENCES);
        }
        // At most 2,000 int values multiplied by 1,000 do not overflow.
        long tasks = steps.stream().mapToLong(StepDefinition::getTaskCount).sum() * occurrences;
        if (tasks > MAXIMUM_TASKS) {
            return exceeded("tasks", MAXIMUM_TASKS);
        }
        long dependencies = steps.stream().mapToLong(StepDefinition::getDependsOnCount).sum();
        if (dependencies * occurrences > MAXIMUM_DEPENDENCIES) {
            return exceeded("dependencies", MAXIMUM_DEPENDENCIES);
        }
        if (definition.getFirstDueMillis() > MAXIMUM_MILLIS
                || definition.getIntervalMillis() > MAXIMUM_MILLIS / occurrences
                || steps.stream().anyMatch(step -> step.getEstimatedMillis() > MAXIMUM_MILLIS)
                || steps.stream()
                        .anyMatch(step -> step.getLatencyTargetMillis() > MAXIMUM_MILLIS)) {
            return Optional.of("a time or duration is longer than " + MAXIMUM_MILLIS + " ms");
        }
        if (steps.stream().anyMatch(step -> isTooLarge(step.getResources()))) {
            return Optional.of("a resource of a task is larger than " + MAXIMUM_AMOUNT);
        }
        return Optional.empty();
    }

    /**
     * Returns whether an amount exceeds {@link #MAXIMUM_AMOUNT}.
     *
     * @param resources the resources
     * @return true if one of them does
     */
    public static boolean isTooLarge(ResourceVector resources) {
        return resources.getProcessorMillis() > MAXIMUM_AMOUNT
                || resources.getMemoryMebibytes() > MAXIMUM_AMOUNT
                || resources.getAccelerators() > MAXIMUM_AMOUNT;
    }

    /**
     * Returns whether the dependencies of each step are distinct earlier steps.
     *
     * @param definition the definition
     * @return true if no step depends on itself, on a later step or twice on the same
     */
    public static boolean hasOrderedDependencies(WorkflowDefinition definition) {
        for (int step = 0; step < definition.getStepsCount(); step++) {
            List<Integer> dependencies = definition.getSteps(step).getDependsOnList();
            int number = step;
            if (dependencies.stream().anyMatch(each -> each < 0 || each >= number)
                    || new HashSet<>(dependencies).size() < dependencies.size()) {
                return false;
            }
        }
        return true;
    }

    private static Optional<String> exceeded(String what, long limit) {
        return Optional.of("more than " + limit + " " + what);
    }
}
