package org.yuccabank.policy.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.rules.RuleSet;

/**
 * Compares every host of the cluster by one score. These are the baselines of the policy benchmark.
 * Immutable.
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
     * Chooses the fullest host with room, which keeps large gaps free.
     *
     * @return the policy
     */
    public static ScanningPlacement bestFit() {
        return BEST_FIT;
    }

    /**
     * Chooses the host with the least reserved share of processors.
     *
     * @return the policy
     */
    public static ScanningPlacement leastLoaded() {
        return LEAST_LOADED;
    }

    /**
     * Chooses any host with room.
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
                double value = score.score(task, host, random);
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
        return new PlacementDecision.Waiting("no host has room at present");
    }
}
