package org.yuccabank.standin;

/**
 * Body of the calls about a running task. Immutable.
 *
 * @param token fencing token of the lease
 * @param leaseUntilMillis new end of the lease on the clock of the host
 * @param generation checkpoint generation to write
 * @param on whether to throttle
 */
public record TaskOrder(long token, long leaseUntilMillis, long generation, boolean on) {}
