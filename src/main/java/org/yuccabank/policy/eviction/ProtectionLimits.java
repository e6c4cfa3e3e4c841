package org.yuccabank.policy.eviction;

/**
 * Slowdown limits of urgent work at which batch tasks are throttled, stopped or released.
 * Immutable.
 *
 * @param upper slowdown above which batch work is throttled
 * @param target slowdown that throttling aims at
 * @param lower slowdown below which throttled tasks are released
 * @param stop slowdown above which tasks that cannot be moved are stopped
 * @param releaseDelayMillis time that the slowdown must stay below the lower limit before a release
 */
public record ProtectionLimits(
        double upper, double target, double lower, double stop, long releaseDelayMillis) {

    /** Validates the order of the limits. */
    public ProtectionLimits {
        if (!(lower <= target && target <= upper && upper <= stop)) {
            throw new IllegalArgumentException(
                    "limits must satisfy lower <= target <= upper <= stop but are "
                            + lower
                            + ", "
                            + target
                            + ", "
                            + upper
                            + ", "
                            + stop);
        }
    }

    /**
     * Returns the default limits. Limits of 1.6, 1.35 and 1.35 would lower the 99th percentile
     * latency of noisy waves by another 8 %, but cost 5 % of the batch work; see docs/bench.md.
     *
     * @return the limits
     */
    public static ProtectionLimits defaults() {
        return new ProtectionLimits(1.8, 1.6, 1.5, 2.5, 2_000);
    }
}
