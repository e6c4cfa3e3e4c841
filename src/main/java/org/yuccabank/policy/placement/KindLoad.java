package org.yuccabank.policy.placement;

import java.util.Objects;
import org.yuccabank.model.WorkKind;

/**
 * Tasks of one kind on a host, with leases in flight and unconfirmed terminations. Immutable.
 *
 * @param kind kind of work
 * @param urgent true if the kind is latency-critical
 * @param tasks number of tasks
 * @param processorMillis processors that the tasks are expected to use, in thousandths of a core
 */
public record KindLoad(WorkKind kind, boolean urgent, int tasks, long processorMillis) {

    /** Checks the parts. */
    public KindLoad {
        Objects.requireNonNull(kind, "kind is null");
    }
}
