package org.yuccabank.policy.routing;

/**
 * Time up to which the answer to a request is of use. Immutable.
 *
 * @param atMillis the time, on the clock that the caller passes to decisions
 */
public record Deadline(long atMillis) {

    private static final Deadline NONE = new Deadline(Long.MAX_VALUE);

    /**
     * A deadline some time from now.
     *
     * @param nowMillis the present time
     * @param budgetMillis time within which the answer is of use
     * @return the deadline
     */
    public static Deadline after(long nowMillis, long budgetMillis) {
        return new Deadline(Math.addExact(nowMillis, budgetMillis));
    }

    /**
     * A deadline that is never reached.
     *
     * @return no deadline
     */
    public static Deadline none() {
        return NONE;
    }

    /**
     * Time that is left.
     *
     * @param nowMillis the present time
     * @return milliseconds until the deadline, 0 if it has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, atMillis - nowMillis);
    }

    /**
     * Tells whether an answer that is given now must be flagged as late.
     *
     * @param nowMillis the present time
     * @return true after the deadline
     */
    public boolean isLate(long nowMillis) {
        return nowMillis > atMillis;
    }
}
