package org.yuccabank.policy.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.rules.RuleSet;

/**
 * Selects the host with the lowest score among all hosts of the cluster. Provides the baselines of
 * the policy benchmark. Immutable.
 */
public final class ScanningPlacement implements PlacementPolicy {

    private static final ScanningPlacement BEST_FIT =
            new ScanningPlacement((task, host, random) -> -host.reservedProcessorShare());
    private static final ScanningPlacement LEAST_LOADED =
            new ScanningPlacement((task, host, random) -> host.reservedProcessorShare());
    private static final ScanningPlacement RANDOM =
            new ScanningPlacement((task, host, random) -> random.nextDouble());

    private final HostScore score;

    private ScanningPlacement(HostScore score) {
        this.score = score;
    }

    /**
     * Returns a policy that selects the feasible host with the highest reserved share of
     * processors, which limits fragmentation.
     *
     * @return the policy
     */
    public static ScanningPlacement bestFit() {
        return BEST_FIT;
    }

    /**
     * Returns a policy that selects the feasible host with the lowest reserved share of processors.
     *
     * @return the policy
     */
    public static ScanningPlacement leastLoaded() {
        return LEAST_LOADED;
    }

    /**
     * Returns a policy that selects a random feasible host.
     *
     * @return the policy
     */
    public static ScanningPlacement random() {
        return RANDOM;
    }

    @Override
    public PlacementDecision place(
            TaskRequest task,
            ClusterView cluster,
            RuleSet rules,
            long nowMillis,
            RandomGenerator random) {
        Objects.requireNonNull(task, "task is null");
        int best = -1;
        double bestScore = Double.POSITIVE_INFINITY;
        for (int index = 0; index < cluster.size(); index++) {
            HostView host = cluster.host(index);
            if (Feasibility.isFeasible(task, host, rules)) {
                double value = score.evaluate(task, host, random);
                if (value < bestScore) {
                    best = index;
                    bestScore = value;
                }
            }
        }
        if (best >= 0) {
            HostView host = cluster.host(best);
            return new PlacementDecision.Placed(host.host(), best, task.reservation());
        }
        return unplaced(task, cluster, rules);
    }

    static PlacementDecision unplaced(TaskRequest task, ClusterView cluster, RuleSet rules) {
        Optional<String> reason = Feasibility.infeasibilityReason(task, cluster, RuleSet.empty());
        if (reason.isPresent()) {
            return new PlacementDecision.Infeasible(reason.get());
        }
        return new PlacementDecision.Waiting("no feasible host has enough free resources");
    }
}
