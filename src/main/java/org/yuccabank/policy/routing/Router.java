package org.yuccabank.policy.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;

/**
 * Chooses a target for each attempt of a request. One router serves one service in one entry
 * process; it knows only what this entry sent and received.
 *
 * <p>The caller reports every attempt: {@link #dispatched} when it is sent and {@link #completed}
 * exactly once when it ends. Implementations are mutable and confined to one thread.
 */
public interface Router {

    /**
     * Adds a target or replaces what is known of it from the directory.
     *
     * @param candidate the directory's entry
     * @param nowMillis the present time
     */
    void update(Candidate candidate, long nowMillis);

    /**
     * Removes a target that is no longer in the directory. Attempts still in progress there may be
     * reported as completed later.
     *
     * @param target the target
     */
    void remove(TargetId target);

    /**
     * Chooses a target. Changes nothing that affects later choices except the random numbers used.
     *
     * @param request the request
     * @param nowMillis the present time
     * @param random source of random numbers
     * @return the target, empty if no target may take the request
     */
    Optional<Route> choose(RouteRequest request, long nowMillis, RandomGenerator random);

    /**
     * Reports that an attempt was sent.
     *
     * @param target the target
     * @param nowMillis the present time
     */
    void dispatched(TargetId target, long nowMillis);

    /**
     * Reports that an attempt ended.
     *
     * @param target the target
     * @param response how it ended
     * @param nowMillis the present time
     */
    void completed(TargetId target, Response response, long nowMillis);
}
