package org.yuccabank.standin;

import org.yuccabank.model.Resources;

/**
 * Request body of {@code PUT /v1/tasks/{id}}. Immutable.
 *
 * @param token fencing token of the lease
 * @param kind kind of work
 * @param account account that owns the task
 * @param reservation resources reserved for the task
 * @param leaseUntilMillis end of the lease on the clock of the host
 * @param generation checkpoint generation to resume from, or 0 to start from the beginning
 * @param runTimeMillis run time of the task on an idle host
 */
public record StartTaskRequest(
        long token,
        String kind,
        String account,
        Resources reservation,
        long leaseUntilMillis,
        long generation,
        long runTimeMillis) {}
