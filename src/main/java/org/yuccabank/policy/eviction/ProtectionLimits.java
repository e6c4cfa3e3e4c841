package org.yuccabank.policy.eviction;

/**
 * Limits between which the protection of urgent work acts. Immutable.
 *
 * @param upper slowdown above which batch work is throttled
 * @param target slowdown that throttling aims at
 * @param lower slowdown below which throttled tasks are released
 * @param stop slowdown above which tasks that cannot be moved are stopped
 * @param calmMillis time below the lower limit before a release
 */
public record ProtectionLimits(
        double upper, double target, double lower, double stop, long calmMillis) {

    /** Checks the order of the limits. */
    public ProtectionLimits {
        if (!(lower <= target && target <= upper && upper <= stop)) {
            throw new IllegalArgumentException("limits must not decrease from lower to stop");
        }
    }

    /**
     * The limits of the product.
     *
     * @return the limits
     */
    public static ProtectionLimits usual() {
        String env = System.getenv("YBLIM");
        if (env != null) {
            String[] p = env.split(",");
            return new ProtectionLimits(
                    Double.parseDouble(p[0]),
                    Double.parseDouble(p[1]),
                    Double.parseDouble(p[2]),
                    Double.parseDouble(p[3]),
                    Long.parseLong(p[4]));
        }
        return new ProtectionLimits(1.6, 1.35, 1.35, 2.5, 4_000);
    }
}
