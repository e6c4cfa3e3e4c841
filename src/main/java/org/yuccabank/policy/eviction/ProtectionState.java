package org.yuccabank.policy.eviction;

/**
 * Memory of the protection of one host between decisions. Immutable.
 *
 * @param highReports successive new reports above the upper limit
 * @param belowLowerSinceMillis time since which reports are below the lower limit, or -1
 * @param lastActionMillis time of the last action, or a time long past
 * @param lastMeasuredMillis time of the newest measurement that was judged
 */
public record ProtectionState(
        int highReports,
        long belowLowerSinceMillis,
        long lastActionMillis,
        long lastMeasuredMillis) {

    /** State of a host without any report. */
    public static final ProtectionState INITIAL =
            new ProtectionState(0, -1, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    ProtectionState afterAction(long nowMillis) {
        return new ProtectionState(0, -1, nowMillis, lastMeasuredMillis);
    }
}
