package org.yuccabank.policy.routing;

import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.TargetId;

/**
 * A request that needs a target. Immutable.
 *
 * @param deadline deadline for the answer
 * @param tried targets of earlier attempts, which are not selected again
 */
public record RouteRequest(Deadline deadline, Set<TargetId> tried) {

    /** Validates the components. */
    public RouteRequest {
        Objects.requireNonNull(deadline, "deadline is null");
        Objects.requireNonNull(tried, "tried is null");
    }

    /**
     * Returns the request for a first attempt.
     *
     * @param deadline deadline for the answer
     * @return the request
     */
    public static RouteRequest of(Deadline deadline) {
        return new RouteRequest(deadline, Set.of());
    }
}
