package org.yuccabank.policy.routing;

/**
 * Options of {@link TwoChoicesRouter}. Each mechanism can be disabled to measure its effect.
 * Immutable.
 *
 * @param choices number of random targets compared, drawn from the nearest ones and again from all
 * @param ageing whether reported load and service times decay with age
 * @param outlierHandling whether failing targets are excluded and silent ones avoided
 * @param preferNearest whether targets of the lowest network delay are drawn in addition
 */
public record RouterOptions(
        int choices, boolean ageing, boolean outlierHandling, boolean preferNearest) {

    private static final RouterOptions DEFAULTS = new RouterOptions(2, true, true, true);

    /** Validates the components. */
    public RouterOptions {
        if (choices < 1) {
            throw new IllegalArgumentException("choices must be at least 1 but is " + choices);
        }
    }

    /**
     * Returns the default options.
     *
     * @return two choices with all mechanisms enabled
     */
    public static RouterOptions defaults() {
        return DEFAULTS;
    }
}
