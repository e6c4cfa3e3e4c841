package org.yuccabank.policy.workflow;

/** How much filling images press on serving ones. */
@FunctionalInterface
public interface Pressures {

    /** Pressure of a pair that was not seen yet, about the mean of those seen on the bench. */
    double UNKNOWN = 0.15;

    /**
     * The pressure of one filling task at full speed on the serving tasks of an image beside it.
     *
     * @param servingImage image of the serving tasks
     * @param bestEffortImage image of the filling task
     * @return the part of the headroom that it takes, 0 to 1
     */
    double of(String servingImage, String bestEffortImage);
}
