package org.yuccabank.policy.placement;

import java.util.random.RandomGenerator;

/** Scores a host on which a task may be placed; the lowest score wins. */
@FunctionalInterface
interface HostScore {

    /**
     * Returns the score of a host.
     *
     * @param task the task
     * @param host a host on which the task fits
     * @param random source of random numbers
     * @return the score, lower is better
     */
    double evaluate(TaskRequest task, HostView host, RandomGenerator random);
}
