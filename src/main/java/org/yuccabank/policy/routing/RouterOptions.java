package org.yuccabank.policy.routing;

/**
 * Mechanisms of {@link TwoChoicesRouter}, each of which can be switched off to measure its effect.
 * Immutable.
 *
 * @param choices targets compared per choice, drawn both from the near ones and from all
 * @param ageing whether reported load and service times fade with their age
 * @param outlierHandling whether failing targets are excluded and silent ones avoided
 * @param preferNearest whether the near data centre is preferred while that pays
 */
public record RouterOptions(
        int choices, boolean ageing, boolean outlierHandling, boolean preferNearest) {

    private static final RouterOptions DEFAULTS = new RouterOptions(2, true, true, true);

    /** Checks the parts. */
    public RouterOptions {
        if (choices < 1) {
            throw new IllegalArgumentException("choices must be at least 1");
        }
    }

    /**
     * The measured best setting.
     *
     * @return all mechanisms on
     */
    public static RouterOptions defaults() {
        return DEFAULTS;
    }
}
