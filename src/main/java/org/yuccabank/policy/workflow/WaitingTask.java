package org.yuccabank.policy.workflow;

import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * A task that is ready to start. Immutable.
 *
 * @param stepKey identifies the step of one workflow occurrence; shared by the tasks of the step
 * @param index index of the task in its step
 * @param resources resources that the task reserves
 * @param load how the task affects others on its worker
 * @param priority priority of the queue, 0 is the highest
 * @param deadlineMillis deadline of the workflow, in milliseconds since the epoch
 * @param hardDeadlineMillis time after which the workflow has no value, in milliseconds since the
 *     epoch
 * @param remainingMillis estimated duration of the longest chain of steps that starts with this
 *     task
 * @param valueDensity value of meeting the deadline per remaining core-second, 1 for a workflow of
 *     typical size that has not started
 * @param constraints placement constraints of the task
 */
public record WaitingTask(
        String stepKey,
        int index,
        Resources resources,
        Load load,
        int priority,
        long deadlineMillis,
        long hardDeadlineMillis,
        long remainingMillis,
        double valueDensity,
        Constraints constraints) {

    /** Validates the components. */
    public WaitingTask {
        Objects.requireNonNull(stepKey, "stepKey is null");
        Objects.requireNonNull(resources, "resources is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(constraints, "constraints is null");
    }

    /** Kind of a task by its effect on the others on its worker. */
    public enum LoadKind {
        /** Long-running task with a tail latency target. */
        SERVING,
        /**
         * Best-effort task, which may interfere with serving tasks and may be throttled for them.
         */
        BEST_EFFORT,
        /** Neither a serving nor a best-effort task. */
        PLAIN
    }

    /**
     * The effect of a task on others on its worker. Immutable.
     *
     * @param kind kind of the task
     * @param image its image, empty if it has none
     * @param expectedProcessorMillis expected processor use, in thousandths of a core
     * @param antiAffinity whether the number of tasks of its step on one worker is limited
     */
    public record Load(
            LoadKind kind, String image, long expectedProcessorMillis, boolean antiAffinity) {

        /** Validates the components. */
        public Load {
            Objects.requireNonNull(kind, "kind is null");
            Objects.requireNonNull(image, "image is null");
        }

        /**
         * Creates the load of a task without anti-affinity.
         *
         * @param kind kind of the task
         * @param image its image, empty if it has none
         * @param expectedProcessorMillis expected processor use, in thousandths of a core
         */
        public Load(LoadKind kind, String image, long expectedProcessorMillis) {
            this(kind, image, expectedProcessorMillis, false);
        }
    }

    /**
     * Placement constraints of a task. Immutable.
     *
     * @param service name of the service whose workers run it
     * @param requiredLabel label that the worker must have, if any
     * @param preferredRack rack of its data, if any
     * @param maximumPerWorker maximum number of tasks of its step on one worker, 0 for no limit
     */
    public record Constraints(
            String service,
            Optional<String> requiredLabel,
            Optional<String> preferredRack,
            int maximumPerWorker) {}
}
