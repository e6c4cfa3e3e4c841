package org.yuccabank.policy.placement;

import java.util.random.RandomGenerator;
import org.yuccabank.rules.RuleSet;

/**
 * Selects a host for a task. Decisions do not change the state of an implementation and never
 * select a host on which the reservation does not fit.
 */
public interface PlacementPolicy {

    /**
     * Decides on which host a task runs.
     *
     * @param task the task
     * @param cluster the hosts
     * @param rules the rules in force
     * @param nowMillis current time
     * @param random source of random numbers
     * @return the decision
     */
    PlacementDecision place(
            TaskRequest task,
            ClusterView cluster,
            RuleSet rules,
            long nowMillis,
            RandomGenerator random);
}
