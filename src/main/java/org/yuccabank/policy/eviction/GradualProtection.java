package org.yuccabank.policy.eviction;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.policy.interference.SlowdownEstimator;

/**
 * Protects urgent work in steps: throttle, then checkpoint and move, then stop. Pure.
 *
 * <p>Hysteresis: a step needs two new reports above the upper limit, taken after the last action
 * had time to work; throttling ends only after a calm period and only if the estimate stays below
 * the upper limit without it.
 */
public final class GradualProtection implements ProtectionPolicy {

    /** Slowdown above which urgent work needs protection. */
    private static final double UPPER_LIMIT = 1.6;

    /** Slowdown below which throttled tasks may be released. */
    private static final double LOWER_LIMIT = 1.35;

    /** One report may be the noise of a short measurement. */
    private static final int REPORTS_TO_ACT = 2;

    /** A directive and its effect on requests in progress take about this long. */
    private static final long SETTLE_MILLIS = 1_000;

    private static final long CALM_MILLIS = 4_000;

    /** Share of its processors that a throttled task keeps. */
    public static final double THROTTLED_SHARE = 0.3;

    /** A stop loses work, so it needs a far worse state than a throttle or a move. */
    private static final double STOP_LIMIT = 2.5;

    private final SlowdownEstimator estimator;

    private GradualProtection(SlowdownEstimator estimator) {
        this.estimator = estimator;
    }

    /**
     * Creates the policy.
     *
     * @param estimator tells which task slows the urgent work most
     * @return the policy
     */
    public static GradualProtection of(SlowdownEstimator estimator) {
        return new GradualProtection(Objects.requireNonNull(estimator, "estimator is null"));
    }

    @Override
    public ProtectionDecision judge(ProtectionState state, HostPressure pressure, long nowMillis) {
        if (pressure.measuredAtMillis() <= state.lastMeasuredMillis()
                || pressure.measuredAtMillis() < state.lastActionMillis() + SETTLE_MILLIS) {
            return ProtectionDecision.nothing(state);
        }
        ProtectionState next = judged(state, pressure, nowMillis);
        if (next.highReports() >= REPORTS_TO_ACT) {
            return escalate(next, pressure, nowMillis);
        }
        if (next.calmSinceMillis() >= 0 && nowMillis - next.calmSinceMillis() >= CALM_MILLIS) {
            return release(next, pressure, nowMillis);
        }
        return ProtectionDecision.nothing(next);
    }

    private static ProtectionState judged(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        double measured = pressure.measuredSlowdown();
        int high = measured > UPPER_LIMIT ? state.highReports() + 1 : 0;
        long calmSince = -1;
        if (measured < LOWER_LIMIT) {
            calmSince = state.calmSinceMillis() >= 0 ? state.calmSinceMillis() : nowMillis;
        }
        return new ProtectionState(
                high, calmSince, state.lastActionMillis(), pressure.measuredAtMillis());
    }

    private ProtectionDecision escalate(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        List<ProtectionAction> throttles = throttles(pressure);
        if (!throttles.isEmpty()) {
            return new ProtectionDecision(state.acted(nowMillis), throttles);
        }
        Optional<BatchCandidate> movable =
                pressure.candidates().stream()
                        .filter(BatchCandidate::checkpointable)
                        .max(Comparator.comparingDouble(task -> effect(task, pressure)));
        if (movable.isPresent()) {
            return new ProtectionDecision(
                    state.acted(nowMillis),
                    List.of(new ProtectionAction.Move(movable.get().task())));
        }
        Optional<BatchCandidate> cheapest =
                pressure.candidates().stream()
                        .min(Comparator.comparingLong(BatchCandidate::atRiskMillis));
        if (cheapest.isPresent() && pressure.measuredSlowdown() > STOP_LIMIT) {
            return new ProtectionDecision(
                    state.acted(nowMillis),
                    List.of(new ProtectionAction.Stop(cheapest.get().task())));
        }
        return ProtectionDecision.nothing(state);
    }

    /** Throttles tasks, the most harmful first, until the expected slowdown is acceptable. */
    private List<ProtectionAction> throttles(HostPressure pressure) {
        List<BatchCandidate> byEffect =
                pressure.candidates().stream()
                        .filter(task -> !task.throttled())
                        .sorted(
                                Comparator.comparingDouble(
                                        (BatchCandidate task) -> -effect(task, pressure)))
                        .toList();
        List<ProtectionAction> actions = new ArrayList<>();
        double expected = pressure.measuredSlowdown();
        for (BatchCandidate task : byEffect) {
            if (expected <= LOWER_LIMIT) {
                break;
            }
            actions.add(new ProtectionAction.Throttle(task.task()));
            expected -= (1 - THROTTLED_SHARE) * effect(task, pressure);
        }
        return actions;
    }

    private ProtectionDecision release(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        Optional<BatchCandidate> least =
                pressure.candidates().stream()
                        .filter(BatchCandidate::throttled)
                        .min(Comparator.comparingLong(BatchCandidate::processorMillis));
        if (least.isEmpty()) {
            return ProtectionDecision.nothing(state);
        }
        BatchCandidate task = least.get();
        long returned = (long) (task.processorMillis() * (1 / THROTTLED_SHARE - 1));
        double expected =
                estimator.slowdown(
                        pressure.victim(),
                        pressure.load(),
                        task.kind(),
                        returned,
                        pressure.capacityMillis());
        if (expected > UPPER_LIMIT) {
            return ProtectionDecision.nothing(state);
        }
        return new ProtectionDecision(
                state.acted(nowMillis), List.of(new ProtectionAction.Release(task.task())));
    }

    /** How much less the urgent work is slowed without the task. */
    private double effect(BatchCandidate task, HostPressure pressure) {
        double with =
                estimator.slowdown(
                        pressure.victim(),
                        pressure.load(),
                        task.kind(),
                        0,
                        pressure.capacityMillis());
        double without =
                estimator.slowdown(
                        pressure.victim(),
                        pressure.load(),
                        task.kind(),
                        -task.processorMillis(),
                        pressure.capacityMillis());
        return with - without;
    }
}
