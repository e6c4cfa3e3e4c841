package org.yuccabank.policy.routing;

/**
 * Bounds extra attempts to a share of the requests of a sliding window, so that retries cannot
 * amplify an overload.
 *
 * <p>Invariant: whenever an extra attempt is granted, the extra attempts of the window that ends
 * now are at most the given share of its requests. Cutting a run into windows that end at granted
 * attempts shows that the bound holds for the whole run too. Mutable; confined to one thread.
 */
public final class RetryBudget {

    /** Share of requests that may be retried, in percent. */
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
     * Creates a budget over a window of 10 s.
     *
     * @param percent extra attempts allowed per 100 requests, 0 to 100
     * @return the budget
     */
    public static RetryBudget ofPercent(int percent) {
        if (percent < 0 || percent > 100) {
            throw new IllegalArgumentException("percent must be from 0 to 100");
        }
        return new RetryBudget(percent);
    }

    /**
     * Creates a budget without a bound, to measure what the bound is worth.
     *
     * @return the budget
     */
    public static RetryBudget unbounded() {
        return new RetryBudget(Integer.MAX_VALUE);
    }

    /**
     * Counts a request that was admitted; extra attempts are not counted here.
     *
     * @param nowMillis the present time
     */
    public void requestStarted(long nowMillis) {
        advance(nowMillis);
        requests[bucketIndex()]++;
        requestsInWindow++;
    }

    /**
     * Takes one extra attempt from the budget if there is one.
     *
     * @param nowMillis the present time
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
