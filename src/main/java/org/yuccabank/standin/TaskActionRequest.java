package org.yuccabank.standin;

/**
 * Request body of {@code POST /v1/tasks/{id}/{action}}. Immutable.
 *
 * @param token fencing token of the lease
 * @param leaseUntilMillis new end of the lease on the clock of the host
 * @param generation checkpoint generation to write
 * @param on whether to throttle or unthrottle the task
 */
public record TaskActionRequest(long token, long leaseUntilMillis, long generation, boolean on) {}
