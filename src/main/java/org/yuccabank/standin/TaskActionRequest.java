package org.yuccabank.standin;

/**
 * Request body of {@code POST /v1/tasks/{id}/{action}}. Immutable.
 *
 * @param token fencing token of the lease
 * @param leaseUntilMillis new end of the lease on the clock of the host; used by {@code lease} only
 * @param generation checkpoint generation to write; used by {@code checkpoint} only
 * @param on true to throttle the task, false to end the throttling; used by {@code throttle} only
 */
public record TaskActionRequest(long token, long leaseUntilMillis, long generation, boolean on) {}
