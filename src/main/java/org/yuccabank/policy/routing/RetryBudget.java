package org.yuccabank.policy.routing;

/**
 * Limits extra attempts to a share of the requests in a sliding window, so that retries cannot
 * amplify an overload.
 *
 * <p>Invariant: whenever an extra attempt is granted, the extra attempts in the window ending now
 * are at most the given share of its requests. Dividing a run into windows that end at granted
 * attempts shows that the limit also holds for the whole run. Mutable; confined to one thread.
 */
public final class RetryBudget {

    /** Retries allowed per 100 requests. */
    public static final int RETRY_PERCENT = 10;

    private static final int BUCKETS = 10;

    private static final long BUCKET_MILLIS = 1000;

    private final int percent;
    private final long[] requests = new long[BUCKETS];
    private final long[] extraAttempts = new long[BUCKETS];
    private long requestsInWindow;
    private long extraAttemptsInWindow;
    private long currentBucket = Long.MIN_VALUE;

    private RetryBudget(int percent) {
        this.percent = percent;
    }

    /**
     * Creates a budget with a window of 10 s.
     *
     * @param percent extra attempts allowed per 100 requests, 0 to 100
     * @return the budget
     */
    public static RetryBudget ofPercent(int percent) {
        if (percent < 0 || percent > 100) {
            throw new IllegalArgumentException("percent must be from 0 to 100 but is " + percent);
        }
        return new RetryBudget(percent);
    }

    /**
     * Creates a budget without a limit, to measure the effect of the limit.
     *
     * @return the budget
     */
    public static RetryBudget unbounded() {
        return new RetryBudget(Integer.MAX_VALUE);
    }

    /**
     * Counts an admitted request; extra attempts are not counted.
     *
     * @param nowMillis the current time
     */
    public void requestStarted(long nowMillis) {
        advance(nowMillis);
        requests[bucketIndex()]++;
        requestsInWindow++;
    }

    /**
     * Acquires one extra attempt if the budget allows it.
     *
     * @param nowMillis the current time
     * @return true if the extra attempt may be made
     */
    public boolean tryAcquire(long nowMillis) {
        advance(nowMillis);
        if ((extraAttemptsInWindow + 1) * 100 > requestsInWindow * percent) {
            return false;
        }
        extraAttempts[bucketIndex()]++;
        extraAttemptsInWindow++;
        return true;
    }

    private void advance(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        if (bucket <= currentBucket) {
            return;
        }
        long elapsedBuckets = currentBucket == Long.MIN_VALUE ? BUCKETS : bucket - currentBucket;
        for (long step = Math.min(elapsedBuckets, BUCKETS) - 1; step >= 0; step--) {
            clear((int) Math.floorMod(bucket - step, (long) BUCKETS));
        }
        currentBucket = bucket;
    }

    private void clear(int index) {
        requestsInWindow -= requests[index];
        extraAttemptsInWindow -= extraAttempts[index];
        requests[index] = 0;
        extraAttempts[index] = 0;
    }

    private int bucketIndex() {
        return (int) Math.floorMod(currentBucket, (long) BUCKETS);
    }
}
