package org.yuccabank.policy.routing;

import java.util.Objects;
import java.util.Set;
import org.yuccabank.model.TargetId;

/**
 * A request that needs a target. Immutable.
 *
 * @param deadline when the answer stops being of use
 * @param tried targets that earlier attempts of the request went to and that are not chosen again
 */
public record RouteRequest(Deadline deadline, Set<TargetId> tried) {

    /** Checks the parts. */
    public RouteRequest {
        Objects.requireNonNull(deadline, "deadline is null");
        Objects.requireNonNull(tried, "tried is null");
    }

    /**
     * The first attempt of a request.
     *
     * @param deadline when the answer stops being of use
     * @return the request
     */
    public static RouteRequest of(Deadline deadline) {
        return new RouteRequest(deadline, Set.of());
    }
}
