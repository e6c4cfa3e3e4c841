package org.yuccabank.policy.placement;

import java.util.random.RandomGenerator;
import org.yuccabank.rules.RuleSet;

/**
 * Chooses a host for a task. Implementations hold no state that a decision changes; they never
 * choose a host without room for the reservation.
 */
public interface PlacementPolicy {

    /**
     * Decides where a task runs.
     *
     * @param task the task
     * @param cluster the hosts
     * @param rules the rules in force
     * @param nowMillis present time
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
