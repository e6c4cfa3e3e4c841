package org.yuccabank.bench.routing;

import java.util.random.RandomGenerator;

/**
 * Kind of urgent request with a log-normally distributed service time. Immutable.
 *
 * @param name name of the kind
 * @param requestShare share of all requests, 0 to 1
 * @param meanMicros mean service time
 * @param sigma standard deviation of the logarithm of the service time
 * @param deadlineMillis time within which an answer is useful
 * @param priority 1 (lowest) to 9 (highest)
 * @param idempotent whether it may run more than once
 */
record RequestKind(
        String name,
        double requestShare,
        double meanMicros,
        double sigma,
        long deadlineMillis,
        int priority,
        boolean idempotent) {

    /** Draws a service time. */
    long serviceMicros(RandomGenerator random) {
        double logMean = StrictMath.log(meanMicros) - sigma * sigma / 2;
        return Math.max(1, (long) StrictMath.exp(logMean + sigma * random.nextGaussian()));
    }
}
