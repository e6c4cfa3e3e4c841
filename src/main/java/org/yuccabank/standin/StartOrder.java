package org.yuccabank.standin;

import org.yuccabank.model.Resources;

/**
 * Body of {@code PUT /v1/tasks/{id}}. Immutable.
 *
 * @param token fencing token of the lease
 * @param kind kind of work
 * @param account account that owns the task
 * @param reservation resources of the task
 * @param leaseUntilMillis end of the lease on the clock of the host
 * @param generation checkpoint generation to resume from, 0 to begin from nothing
 * @param runTimeMillis time that the task needs on an idle host
 */
public record StartOrder(
        long token,
        String kind,
        String account,
        Resources reservation,
        long leaseUntilMillis,
        long generation,
        long runTimeMillis) {}
