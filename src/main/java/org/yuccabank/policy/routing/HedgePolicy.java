package org.yuccabank.policy.routing;

import java.util.OptionalLong;

/**
 * Decides whether to hedge a request with a second attempt while the first has no answer yet.
 *
 * <p>The caller calls {@link #delayMillis} when it sends a request, {@link #tryHedge} when that
 * delay has passed without an answer, and {@link #recordAnswer} for every first answer.
 * Implementations are mutable and confined to one thread.
 */
public interface HedgePolicy {

    /**
     * Counts an admitted request and returns the delay before a second attempt.
     *
     * @param idempotent whether the request may run more than once
     * @param nowMillis the current time
     * @return the delay in milliseconds, empty if the request is not hedged
     */
    OptionalLong delayMillis(boolean idempotent, long nowMillis);

    /**
     * Decides on the second attempt; a granted attempt counts against the budget.
     *
     * @param route route selected by the router
     * @param deadline deadline for the answer
     * @param nowMillis the current time
     * @return true to send it
     */
    boolean tryHedge(Route route, Deadline deadline, long nowMillis);

    /**
     * Records the first answer to a request.
     *
     * @param elapsedMicros time since the first attempt was sent, in microseconds
     * @param nowMillis the current time
     */
    void recordAnswer(long elapsedMicros, long nowMillis);

    /**
     * Returns a policy that never sends a second attempt.
     *
     * @return the policy
     */
    static HedgePolicy off() {
        return NoHedge.INSTANCE;
    }
}
