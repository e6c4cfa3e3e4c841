package org.yuccabank.policy.routing;

import org.yuccabank.model.AccountId;

/**
 * Decides whether a request is sent or refused immediately. A refusal is evidence that the request
 * did not run, because it precedes any dispatch.
 *
 * <p>The caller calls {@link #started} for every admitted request and {@link #finished} exactly
 * once when the request ends, regardless of its number of attempts. Implementations are mutable and
 * confined to one thread.
 */
public interface AdmissionController {

    /**
     * Decides on a request.
     *
     * @param request the request
     * @param nowMillis the current time
     * @return the decision
     */
    Admission decide(AdmissionRequest request, long nowMillis);

    /**
     * Records that an admitted request was sent.
     *
     * @param account account of the request
     * @param nowMillis the current time
     */
    void started(AccountId account, long nowMillis);

    /**
     * Records that a request ended.
     *
     * @param account account of the request
     * @param response result of its last attempt
     * @param nowMillis the current time
     */
    void finished(AccountId account, Response response, long nowMillis);
}
