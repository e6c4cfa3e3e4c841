package org.yuccabank.policy.eviction;

import java.util.Objects;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.model.WorkKind;

/**
 * A batch task that may be throttled or stopped. Immutable.
 *
 * @param task the task
 * @param kind its kind
 * @param reservation resources that its lease reserves
 * @param processorMillis processors that it uses, in thousandths of a core
 * @param checkpointable true if it can be moved without losing work
 * @param throttled true if it is already throttled
 * @param atRiskMillis run time that would be lost by a stop without a checkpoint
 */
public record EvictionCandidate(
        TaskId task,
        WorkKind kind,
        Resources reservation,
        long processorMillis,
        boolean checkpointable,
        boolean throttled,
        long atRiskMillis) {

    /** Validates the components. */
    public EvictionCandidate {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(reservation, "reservation is null");
    }
}
