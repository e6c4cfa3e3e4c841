package org.yuccabank.policy.routing;

/**
 * Time until which the answer to a request is useful. Immutable.
 *
 * @param atMillis the time, on the clock that the caller passes to decisions
 */
public record Deadline(long atMillis) {

    private static final Deadline NONE = new Deadline(Long.MAX_VALUE);

    /**
     * Returns the deadline at the end of a time budget.
     *
     * @param nowMillis the current time
     * @param budgetMillis time until the deadline
     * @return the deadline
     */
    public static Deadline after(long nowMillis, long budgetMillis) {
        return new Deadline(Math.addExact(nowMillis, budgetMillis));
    }

    /**
     * Returns a deadline that is never reached.
     *
     * @return the deadline
     */
    public static Deadline none() {
        return NONE;
    }

    /**
     * Returns the remaining time.
     *
     * @param nowMillis the current time
     * @return milliseconds until the deadline, 0 if it has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, atMillis - nowMillis);
    }

    /**
     * Returns whether an answer given now must be flagged as late.
     *
     * @param nowMillis the current time
     * @return true after the deadline
     */
    public boolean isLate(long nowMillis) {
        return nowMillis > atMillis;
    }
}
