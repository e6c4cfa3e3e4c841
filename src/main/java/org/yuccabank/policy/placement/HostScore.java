package org.yuccabank.policy.placement;

import java.util.random.RandomGenerator;

/** Rates a host on which a task may be placed; the least score is chosen. */
@FunctionalInterface
interface HostScore {

    /**
     * Rates a host.
     *
     * @param task the task
     * @param host a host that can hold it
     * @param random source of random numbers
     * @return the score, less is better
     */
    double score(TaskRequest task, HostView host, RandomGenerator random);
}
