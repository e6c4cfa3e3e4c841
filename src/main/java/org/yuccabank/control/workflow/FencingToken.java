package org.yuccabank.control.workflow;

/**
 * Fencing tokens of the calls for a worker.
 *
 * <p>A worker does nothing for a lower token than the highest that it has seen. A worker that
 * starts again under its identifier takes calls that were meant for its former incarnation, as a
 * call names the identifier only; the token tells them apart from the first call of the leader for
 * the new incarnation on.
 *
 * <p>Invariants: the token rises with the term of the leader, and within a term with each
 * incarnation on a host. It depends on no clock and on no state of the agent. It is higher than the
 * tokens of earlier releases, which are terms. It is exact as a floating-point number for terms up
 * to 2^36. Stateless.
 */
final class FencingToken {

    private static final int INCARNATION_BITS = 16;

    private static final long MAXIMUM_INCARNATION = (1L << INCARNATION_BITS) - 1;

    private FencingToken() {}

    /**
     * Returns the token for an incarnation.
     *
     * @param term term of the leader
     * @param incarnation number of the incarnation among those that have reported to this leader
     *     from the same host, from 0; all beyond the maximum share a token
     */
    static long of(long term, long incarnation) {
        return (term << INCARNATION_BITS) + Math.min(incarnation, MAXIMUM_INCARNATION);
    }
}
