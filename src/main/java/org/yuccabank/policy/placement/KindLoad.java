package org.yuccabank.policy.placement;

import java.util.Objects;
import org.yuccabank.model.WorkKind;

/**
 * Load of one kind on a host, including leases in flight and unconfirmed terminations. Immutable.
 *
 * @param kind kind of work
 * @param urgent true if the kind is latency-critical
 * @param tasks number of tasks
 * @param processorMillis expected processor use of the tasks, in thousandths of a core
 */
public record KindLoad(WorkKind kind, boolean urgent, int tasks, long processorMillis) {

    /** Validates the components. */
    public KindLoad {
        Objects.requireNonNull(kind, "kind is null");
    }
}
