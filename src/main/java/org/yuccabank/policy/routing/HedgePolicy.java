package org.yuccabank.policy.routing;

import java.util.OptionalLong;

/**
 * Decides whether a second attempt is sent while the first still has no answer.
 *
 * <p>The caller asks {@link #delayMillis} when it sends a request, asks {@link #tryHedge} when that
 * time has passed without an answer, and reports every answer. Implementations are mutable and
 * confined to one thread.
 */
public interface HedgePolicy {

    /**
     * Counts an admitted request and tells how long to wait before a second attempt is considered.
     *
     * @param idempotent whether the request may run more than once
     * @param nowMillis the present time
     * @return the wait in milliseconds, empty if there will be no second attempt
     */
    OptionalLong delayMillis(boolean idempotent, long nowMillis);

    /**
     * Decides about the second attempt; a granted one counts against the budget.
     *
     * @param route where the router would send it
     * @param deadline when the answer stops being of use
     * @param nowMillis the present time
     * @return true to send it
     */
    boolean tryHedge(Route route, Deadline deadline, long nowMillis);

    /**
     * Reports an answer that was the first of its request.
     *
     * @param elapsedMicros time since the first attempt was sent
     * @param nowMillis the present time
     */
    void recordAnswer(long elapsedMicros, long nowMillis);

    /**
     * A policy that never sends a second attempt.
     *
     * @return the policy
     */
    static HedgePolicy off() {
        return NoHedge.INSTANCE;
    }
}
