package org.yuccabank.policy.workflow;

/** Supplies the pressure of best-effort images on serving images. */
@FunctionalInterface
public interface Pressures {

    /**
     * Pressure assumed for a pair without observations, about the mean of the benchmark's pairs.
     */
    double UNKNOWN = 0.15;

    /**
     * Returns the pressure of one best-effort task at full speed on serving tasks on the same
     * worker.
     *
     * @param servingImage image of the serving tasks
     * @param bestEffortImage image of the best-effort task
     * @return the share of the serving tasks' headroom that it uses, 0 to 1
     */
    double pressure(String servingImage, String bestEffortImage);
}
