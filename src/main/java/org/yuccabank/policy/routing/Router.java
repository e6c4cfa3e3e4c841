package org.yuccabank.policy.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;

/**
 * Selects a target for each attempt of a request. A router serves one service in one entry process
 * and relies only on the directory and on what this entry sent and received.
 *
 * <p>The caller calls {@link #dispatched} when an attempt is sent and {@link #completed} exactly
 * once when it ends. Implementations are mutable and confined to one thread.
 */
public interface Router {

    /**
     * Adds a target or updates its directory entry.
     *
     * @param candidate the directory entry
     * @param nowMillis the current time
     */
    void update(Candidate candidate, long nowMillis);

    /**
     * Removes a target that is no longer in the directory. Its attempts in progress may be reported
     * as completed later.
     *
     * @param target the target
     */
    void remove(TargetId target);

    /**
     * Selects a target. The selection affects later ones only through the random numbers used.
     *
     * @param request the request
     * @param nowMillis the current time
     * @param random source of random numbers
     * @return the route, empty if no target can accept the request
     */
    Optional<Route> choose(RouteRequest request, long nowMillis, RandomGenerator random);

    /**
     * Records that an attempt was sent.
     *
     * @param target the target
     * @param nowMillis the current time
     */
    void dispatched(TargetId target, long nowMillis);

    /**
     * Records that an attempt ended.
     *
     * @param target the target
     * @param response result of the attempt
     * @param nowMillis the current time
     */
    void completed(TargetId target, Response response, long nowMillis);
}
