package org.yuccabank.policy.placement;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.interference.SlowdownEstimator;
import org.yuccabank.rules.RuleSet;

/**
 * Selects, from a sample of hosts, the one where the task interferes least with urgent work.
 * Stateless.
 *
 * <p>Scores at most {@value #SAMPLE_SIZE} feasible hosts, so that the cost of a decision does not
 * grow with the cluster. All hosts are checked for feasibility if too few of them have capacity.
 */
public final class InterferencePlacement implements PlacementPolicy {

    /** The best of 32 sampled hosts is among the best 10 % of 910 hosts in 97 % of decisions. */
    private static final int SAMPLE_SIZE = 32;

    /** The urgent work of a host without a report for longer is assumed to be fully loaded. */
    private static final long MAXIMUM_REPORT_AGE_MILLIS = 5_000;

    /** Weight that spreads work among hosts with similar interference. */
    private static final double BALANCE_WEIGHT = 0.05;

    private final SlowdownEstimator estimator;
    private final UrgentHeadroom urgentHeadroom;

    private InterferencePlacement(SlowdownEstimator estimator, UrgentHeadroom urgentHeadroom) {
        this.estimator = estimator;
        this.urgentHeadroom = urgentHeadroom;
    }

    /**
     * Creates the policy.
     *
     * @param estimator estimates the slowdown of urgent work
     * @param urgentHeadroom resources that batch work leaves free
     * @return the policy
     */
    public static InterferencePlacement of(
            SlowdownEstimator estimator, UrgentHeadroom urgentHeadroom) {
        Objects.requireNonNull(estimator, "estimator is null");
        Objects.requireNonNull(urgentHeadroom, "urgentHeadroom is null");
        return new InterferencePlacement(estimator, urgentHeadroom);
    }

    @Override
    public PlacementDecision place(
            TaskRequest task,
            ClusterView cluster,
            RuleSet rules,
            long nowMillis,
            RandomGenerator random) {
        Objects.requireNonNull(task, "task is null");
        int size = cluster.size();
        if (size == 0) {
            return new PlacementDecision.Waiting("no host is registered");
        }
        int offset = random.nextInt(size);
        int best = -1;
        double bestScore = Double.POSITIVE_INFINITY;
        int scoredHosts = 0;
        for (int step = 0; step < size && scoredHosts < SAMPLE_SIZE; step++) {
            int index = offset + step < size ? offset + step : offset + step - size;
            HostView host = cluster.host(index);
            if (!isCandidate(task, host, index, size, rules)) {
                continue;
            }
            scoredHosts++;
            double score = score(task, host, nowMillis);
            if (score < bestScore) {
                best = index;
                bestScore = score;
            }
        }
        if (best < 0) {
            return ScanningPlacement.unplaced(task, cluster, rules);
        }
        return new PlacementDecision.Placed(cluster.host(best).host(), best, task.reservation());
    }

    private boolean isCandidate(
            TaskRequest task, HostView host, int index, int size, RuleSet rules) {
        if (!Feasibility.isFeasible(task, host, rules)) {
            return false;
        }
        if (task.urgent()) {
            return true;
        }
        Resources headroom = urgentHeadroom.on(index, size);
        Resources needed = task.reservation();
        return host.reserved().processorMillis()
                                + needed.processorMillis()
                                + headroom.processorMillis()
                        <= host.capacity().processorMillis()
                && host.reserved().memoryMebibytes()
                                + needed.memoryMebibytes()
                                + headroom.memoryMebibytes()
                        <= host.capacity().memoryMebibytes();
    }

    private double score(TaskRequest task, HostView host, long nowMillis) {
        long added = task.reservation().processorMillis();
        long capacity = host.capacity().processorMillis();
        boolean fresh = nowMillis - host.lastReportMillis() <= MAXIMUM_REPORT_AGE_MILLIS;
        double utilisation = fresh ? host.urgentUtilisation() : 1;
        double score = BALANCE_WEIGHT * host.reservedProcessorShare();
        List<KindLoad> kinds = host.kinds();
        for (int index = 0; index < kinds.size(); index++) {
            KindLoad victim = kinds.get(index);
            if (victim.urgent()) {
                double before = estimator.slowdown(victim.kind(), kinds, task.kind(), 0, capacity);
                double after =
                        estimator.slowdown(victim.kind(), kinds, task.kind(), added, capacity);
                score += penalty(after, utilisation) - penalty(before, utilisation);
            }
        }
        return score;
    }

    /** Grows faster than the slowdown, because few hosts determine the tail latency. */
    private static double penalty(double slowdown, double utilisation) {
        double excess = slowdown - 1;
        return (0.5 + utilisation) * excess * excess * slowdown;
    }
}
