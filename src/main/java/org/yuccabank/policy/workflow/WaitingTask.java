package org.yuccabank.policy.workflow;

import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * A task that may start now. Immutable.
 *
 * @param stepKey names the step of one occurrence, shared by the tasks of the step
 * @param index number of the task in its step
 * @param resources what the task reserves
 * @param load how the task affects others on its worker
 * @param priority priority of the queue, 0 comes first
 * @param deadlineMillis until when the workflow should end, in milliseconds since 1970
 * @param hardDeadlineMillis after which the workflow is worth nothing, in milliseconds since 1970
 * @param remainingMillis estimated time of the longest chain from this task to the end
 * @param valueDensity value of ending the workflow in time for each core-second that it still
 *     needs, 1 for a workflow of the usual size that has not started
 * @param constraints where the task may run
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

    /** Checks the parts. */
    public WaitingTask {
        Objects.requireNonNull(stepKey, "stepKey is null");
        Objects.requireNonNull(resources, "resources is null");
        Objects.requireNonNull(load, "load is null");
        Objects.requireNonNull(constraints, "constraints is null");
    }

    /** How a task affects the others on its worker. */
    public enum LoadKind {
        /** Lasts and has to keep its tail latency. */
        SERVING,
        /** May slow down serving tasks beside it. */
        FILLING,
        /** Neither. */
        PLAIN
    }

    /**
     * What a task does to the others on its worker. Immutable.
     *
     * @param kind how it affects them
     * @param image its image, empty if it has none
     * @param expectedProcessorMillis processors that it is expected to use, in thousandths of a
     *     core
     * @param antiAffinity whether few tasks of its step may run on one worker
     */
    public record Load(
            LoadKind kind, String image, long expectedProcessorMillis, boolean antiAffinity) {

        /** Checks the parts. */
        public Load {
            Objects.requireNonNull(kind, "kind is null");
            Objects.requireNonNull(image, "image is null");
        }

        /**
         * Creates the load of a task whose step may run together.
         *
         * @param kind how it affects the others
         * @param image its image, empty if it has none
         * @param expectedProcessorMillis processors that it is expected to use, in thousandths of a
         *     core
         */
        public Load(LoadKind kind, String image, long expectedProcessorMillis) {
            this(kind, image, expectedProcessorMillis, false);
        }
    }

    /**
     * Where a task may run. Immutable.
     *
     * @param service name of the service whose workers run it
     * @param requiredLabel label that the worker must have, if any
     * @param preferredRack rack of its data, if any
     * @param maxPerWorker most tasks of its step on one worker, 0 for no limit
     */
    public record Constraints(
            String service,
            Optional<String> requiredLabel,
            Optional<String> preferredRack,
            int maxPerWorker) {}
}
