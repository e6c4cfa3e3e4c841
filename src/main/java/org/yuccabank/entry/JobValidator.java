package org.yuccabank.entry;

import java.util.Optional;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.SubmitJob;

/** Validates submitted jobs. */
final class JobValidator {

    private static final int MAXIMUM_PRIORITY = 9;

    private JobValidator() {}

    /**
     * Returns the first validation error of a job.
     *
     * @param job the submitted job
     * @return the error message, or empty if the job is valid
     */
    static Optional<String> firstError(SubmitJob job) {
        ResourceVector declared = job.getDeclared();
        if (job.getKind().isBlank()) {
            return Optional.of("kind is missing");
        }
        if (job.getTaskCount() < 1) {
            return Optional.of("tasks must be at least 1");
        }
        if (declared.getProcessorMillis() <= 0 || declared.getMemoryMebibytes() <= 0) {
            return Optional.of(
                    "resources.processorMillis and resources.memoryMebibytes must be positive");
        }
        if (declared.getAccelerators() < 0) {
            return Optional.of("resources.accelerators must not be negative");
        }
        if (job.getDeclaredRunMillis() <= 0) {
            return Optional.of("runMillis must be positive");
        }
        if (job.getPriority() < 1 || job.getPriority() > MAXIMUM_PRIORITY) {
            return Optional.of("priority must be from 1 to " + MAXIMUM_PRIORITY);
        }
        return Optional.empty();
    }
}
