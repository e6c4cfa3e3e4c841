package org.yuccabank.replication;

/**
 * Detects that a host was suspended, by comparing its steady clock with its time of day. The steady
 * clock does not count a suspension and the time of day does. A step of the time of day looks the
 * same and is reported too. Not thread-safe.
 *
 * <p>Between two reports, the clocks differ by at most {@link #TOLERANCE_MILLIS}. A step back that
 * falls into a suspension of the same length is not detected.
 */
final class ClockComparison {

    /**
     * Covers the rounding of both clocks and the slewing of the time of day, which is at most 0.5
     * ms per second.
     */
    static final long TOLERANCE_MILLIS = 10;

    private boolean observed;
    private long referenceMillis;

    /**
     * Compares the clocks with the last reference, and makes them the reference if they differ.
     *
     * @param steadyMillis time of the steady clock
     * @param wallMillis time of day, read at the same moment
     * @return true if one clock has advanced more than the other since the last reference
     */
    boolean hasDiverged(long steadyMillis, long wallMillis) {
        long differenceMillis = wallMillis - steadyMillis;
        boolean diverged =
                observed && Math.abs(differenceMillis - referenceMillis) > TOLERANCE_MILLIS;
        if (!observed || diverged) {
            observed = true;
            referenceMillis = differenceMillis;
        }
        return diverged;
    }
}
