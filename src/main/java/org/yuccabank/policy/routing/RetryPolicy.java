package org.yuccabank.policy.routing;

import java.util.Optional;

/** Decides whether a request is sent again after an attempt ended without an answer, and where. */
public interface RetryPolicy {

    /**
     * Counts a request that was admitted, as the base of the budget.
     *
     * @param nowMillis the present time
     */
    void requestStarted(long nowMillis);

    /**
     * Decides about another attempt; a granted one counts against the budget.
     *
     * @param attempts all attempts so far
     * @param idempotent whether the request may run more than once
     * @param deadline when the answer stops being of use
     * @param nowMillis the present time
     * @return the request for the router, which leaves out the targets already tried; empty if the
     *     caller is told {@link Attempts#outcome()} instead
     */
    Optional<RouteRequest> retry(
            Attempts attempts, boolean idempotent, Deadline deadline, long nowMillis);
}
