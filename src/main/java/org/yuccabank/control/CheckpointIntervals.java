package org.yuccabank.control;

import java.time.Duration;
import java.util.Optional;
import org.yuccabank.model.WorkKind;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.JobRecord;

/** Chooses how often a task writes a checkpoint. */
final class CheckpointIntervals {

    private static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(60);

    private CheckpointIntervals() {}

    /**
     * Interval between two checkpoints of a task.
     *
     * @param state the replicated records
     * @param job the task's job
     * @return the interval in milliseconds, 0 if the work cannot write checkpoints
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
