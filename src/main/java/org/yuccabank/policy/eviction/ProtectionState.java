package org.yuccabank.policy.eviction;

/**
 * Protection state of one host between decisions. Immutable.
 *
 * @param highReports consecutive new reports above the upper limit
 * @param belowLowerSinceMillis time since which reports are below the lower limit, or -1
 * @param lastActionMillis time of the last action, far in the past if there was none
 * @param lastMeasuredMillis time of the latest measurement considered
 */
public record ProtectionState(
        int highReports,
        long belowLowerSinceMillis,
        long lastActionMillis,
        long lastMeasuredMillis) {

    /** State of a host without reports. */
    public static final ProtectionState INITIAL =
            new ProtectionState(0, -1, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    ProtectionState afterAction(long nowMillis) {
        return new ProtectionState(0, -1, nowMillis, lastMeasuredMillis);
    }
}
