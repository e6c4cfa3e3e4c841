package org.yuccabank.policy.routing;

import org.yuccabank.model.AccountId;

/**
 * Decides whether a request is sent or refused at once. A refusal is evidence of "not run", because
 * it is given before any dispatch.
 *
 * <p>The caller reports {@link #started} for every admitted request and {@link #finished} exactly
 * once when it ends, whatever its number of attempts. Implementations are mutable and confined to
 * one thread.
 */
public interface AdmissionController {

    /**
     * Decides about a request.
     *
     * @param request the request
     * @param nowMillis the present time
     * @return the decision
     */
    Admission decide(AdmissionRequest request, long nowMillis);

    /**
     * Reports that an admitted request was sent.
     *
     * @param account whose request it is
     * @param nowMillis the present time
     */
    void started(AccountId account, long nowMillis);

    /**
     * Reports that a request ended.
     *
     * @param account whose request it is
     * @param response how its last attempt ended
     * @param nowMillis the present time
     */
    void finished(AccountId account, Response response, long nowMillis);
}
