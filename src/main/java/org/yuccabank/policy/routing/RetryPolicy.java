package org.yuccabank.policy.routing;

import java.util.Optional;

/** Decides whether to retry a request after an attempt without an answer. */
public interface RetryPolicy {

    /**
     * Counts an admitted request towards the budget.
     *
     * @param nowMillis the current time
     */
    void requestStarted(long nowMillis);

    /**
     * Decides on another attempt; a granted attempt counts against the budget.
     *
     * @param attempts all attempts so far
     * @param idempotent whether the request may run more than once
     * @param deadline deadline for the answer
     * @param nowMillis the current time
     * @return the request for the router, which excludes the targets already tried; empty if the
     *     caller gets {@link Attempts#outcome()} instead
     */
    Optional<RouteRequest> retry(
            Attempts attempts, boolean idempotent, Deadline deadline, long nowMillis);
}
