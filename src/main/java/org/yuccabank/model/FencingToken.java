package org.yuccabank.model;

/**
 * Fencing tokens of the calls for a worker.
 *
 * <p>A worker does nothing for a lower token than the highest that it has seen. A worker that
 * starts again under its identifier takes calls that were meant for its former incarnation, as a
 * call names the identifier only; the token tells them apart.
 *
 * <p>The leader raises the token with each incarnation that it learns of. Its agent, which may be
 * cut off from the leader, raises the token with each interruption that it sees; it is the only one
 * to call the worker.
 *
 * <p>Invariants: the token rises with the term of the leader, within a term with each incarnation
 * on a host, and within an incarnation with each of the first 1,023 interruptions. It depends on no
 * clock and on no state that is lost with the agent. It is higher than the tokens of earlier
 * releases. It is exact as a floating-point number for terms up to 2^29. Stateless.
 */
public final class FencingToken {

    private static final int INTERRUPTION_BITS = 10;

    private static final int INCARNATION_BITS = 14;

    private static final long MAXIMUM_INTERRUPTION = (1L << INTERRUPTION_BITS) - 1;

    private static final long MAXIMUM_INCARNATION = (1L << INCARNATION_BITS) - 1;

    private FencingToken() {}

    /**
     * Returns the leader's token for an incarnation.
     *
     * @param term term of the leader
     * @param incarnation number of the incarnation among those that have reported to this leader
     *     from the same host, from 0; all beyond the maximum share a token
     * @return the token
     */
    public static long of(long term, long incarnation) {
        long counted = Math.min(incarnation, MAXIMUM_INCARNATION);
        return ((term << INCARNATION_BITS) + counted) << INTERRUPTION_BITS;
    }

    /**
     * Returns the token after interruptions, which is lower than the leader's for the next
     * incarnation.
     *
     * @param token a token
     * @param interruptions number of interruptions, positive
     * @return the raised token, at most that of the maximum number of interruptions
     */
    public static long raise(long token, long interruptions) {
        return Math.min(
                token | MAXIMUM_INTERRUPTION,
                token + Math.min(interruptions, MAXIMUM_INTERRUPTION));
    }
}
