package org.yuccabank.control;

import java.time.Duration;
import java.util.Optional;
import org.yuccabank.model.WorkKind;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.JobRecord;

/** Determines the checkpoint interval of a task. */
final class CheckpointIntervals {

    private static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(60);

    private CheckpointIntervals() {}

    /**
     * Returns the interval between two checkpoints of a task.
     *
     * @param state the replicated state
     * @param job the task's job
     * @return the interval in milliseconds, 0 if the job does not support checkpoints
     */
    static long intervalMillis(SystemState state, JobRecord job) {
        if (!job.getSpecification().getCheckpointable()) {
            return 0;
        }
        WorkKind kind = WorkKind.of(job.getSpecification().getKind());
        return state.parsedRules()
                .flatMap(rules -> Optional.ofNullable(rules.ruleSet().batch().get(kind)))
                .flatMap(batch -> batch.checkpointInterval())
                .orElse(DEFAULT_INTERVAL)
                .toMillis();
    }
}
