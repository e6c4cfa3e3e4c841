package org.yuccabank.event;

/**
 * Decides which requests are kept in the log by a budget of tasks per second.
 *
 * <p>Invariant: the number of tasks of kept requests within any time is at most the rate times that
 * time plus twice the burst, where a request counts with at most the burst. A request is kept while
 * the balance is positive and may overdraw it, so large requests are not at a disadvantage. Not
 * thread-safe.
 */
public final class RequestLineBudget {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double tasksPerMilli;
    private final long burstTasks;
    private double balance;
    private long refilledAtMillis;

    private RequestLineBudget(long tasksPerSecond, long burstTasks, long nowMillis) {
        tasksPerMilli = tasksPerSecond / MILLIS_PER_SECOND;
        this.burstTasks = burstTasks;
        balance = burstTasks;
        refilledAtMillis = nowMillis;
    }

    /**
     * Creates a full budget.
     *
     * @param tasksPerSecond sustained rate, positive
     * @param burstTasks tasks beyond the rate that are kept after a time without load, positive
     * @param nowMillis current time of a monotonic clock
     * @return the budget
     */
    public static RequestLineBudget of(long tasksPerSecond, long burstTasks, long nowMillis) {
        if (tasksPerSecond <= 0 || burstTasks <= 0) {
            throw new IllegalArgumentException("rate and burst must be positive");
        }
        return new RequestLineBudget(tasksPerSecond, burstTasks, nowMillis);
    }

    /**
     * Decides on a request and charges it if it is kept.
     *
     * @param tasks number of tasks of the request
     * @param nowMillis current time of a monotonic clock
     * @return the decision, never {@link RequestLines#UNDECIDED}
     */
    public RequestLines decide(long tasks, long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
        balance = Math.min(burstTasks, balance + elapsedMillis * tasksPerMilli);
        if (balance <= 0) {
            return RequestLines.OMITTED;
        }
        balance -= Math.min(Math.max(1, tasks), burstTasks);
        return RequestLines.KEPT;
    }
}
