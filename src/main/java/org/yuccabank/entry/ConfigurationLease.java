package org.yuccabank.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The time for which the rules count as current after control has confirmed them. Not thread-safe.
 *
 * <p>Invariant: the lease is valid only while both clocks of the host have advanced alike since the
 * request that control answered. The steady clock does not count a suspension of the host, and the
 * time of day may be stepped back, so that either alone could make the lease too long.
 */
final class ConfigurationLease {

    /** Covers the rounding and slewing of the clocks over a lease of seconds. */
    private static final long TOLERANCE_MILLIS = 50;

    private final long durationMillis;
    private Optional<Moment> start = Optional.empty();

    /**
     * Times of both clocks of the host at one moment.
     *
     * @param steadyMillis time of the steady clock
     * @param wallMillis time of day
     */
    record Moment(long steadyMillis, long wallMillis) {

        static Moment now() {
            return new Moment(
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System.currentTimeMillis());
        }
    }

    ConfigurationLease(long durationMillis) {
        this.durationMillis = durationMillis;
    }

    /** Starts the lease at the time of the request, because the response may have been delayed. */
    void start(Moment requested) {
        start = Optional.of(requested);
    }

    boolean isValid(Moment now) {
        if (start.isEmpty()) {
            return false;
        }
        long steadyMillis = now.steadyMillis() - start.get().steadyMillis();
        long wallMillis = now.wallMillis() - start.get().wallMillis();
        return steadyMillis <= durationMillis
                && Math.abs(wallMillis - steadyMillis) <= TOLERANCE_MILLIS;
    }
}
