package org.yuccabank.policy.placement;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.interference.SlowdownEstimator;
import org.yuccabank.rules.RuleSet;

/**
 * Chooses, among a sample of hosts, the one whose urgent work suffers least. Holds no state of its
 * own.
 *
 * <p>Only {@value #SAMPLE_SIZE} hosts are rated, so the cost of a decision does not grow with the
 * cluster; all hosts are tried, cheaply, when no host of the sample has room.
 */
public final class InterferencePlacement implements PlacementPolicy {

    /** With 32 of 910 hosts the best of the sample is among the best 10 % in 97 % of decisions. */
    private static final int SAMPLE_SIZE = 32;

    /** Without a report for this long the host's urgent work counts as fully loaded. */
    private static final long MAX_REPORT_AGE_MILLIS = 5_000;

    /** Spreads work among hosts whose urgent work suffers alike. */
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
     * @param urgentHeadroom room that batch work leaves free
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
            return new PlacementDecision.Waiting("no host has announced itself");
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
        boolean fresh = nowMillis - host.lastReportMillis() <= MAX_REPORT_AGE_MILLIS;
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

    /** Harm grows faster than the slowdown, because the tail of latency comes from few hosts. */
    private static double penalty(double slowdown, double utilisation) {
        double excess = slowdown - 1;
        return (0.5 + utilisation) * excess * excess * slowdown;
    }
}
