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

    /** One report may be the noise of a short measurement. */
    private static final int REPORTS_TO_ACT = 2;

    /** A directive and its effect on requests in progress take about this long. */
    private static final long SETTLE_MILLIS = 1_000;

    /** Share of its processors that a throttled task keeps. */
    public static final double THROTTLED_SHARE = 0.3;

    private final SlowdownEstimator estimator;
    private final ProtectionLimits limits;

    private GradualProtection(SlowdownEstimator estimator, ProtectionLimits limits) {
        this.estimator = estimator;
        this.limits = limits;
    }

    /**
     * Creates the policy.
     *
     * @param estimator tells which task slows the urgent work most
     * @param limits when to act
     * @return the policy
     */
    public static GradualProtection of(SlowdownEstimator estimator, ProtectionLimits limits) {
        Objects.requireNonNull(estimator, "estimator is null");
        Objects.requireNonNull(limits, "limits is null");
        return new GradualProtection(estimator, limits);
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
        if (next.calmSinceMillis() >= 0
                && nowMillis - next.calmSinceMillis() >= limits.calmMillis()) {
            return release(next, pressure, nowMillis);
        }
        return ProtectionDecision.nothing(next);
    }

    private ProtectionState judged(ProtectionState state, HostPressure pressure, long nowMillis) {
        double measured = pressure.measuredSlowdown();
        int high = measured > limits.upper() ? state.highReports() + 1 : 0;
        long calmSince = -1;
        if (measured < limits.lower()) {
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
        if (cheapest.isPresent() && pressure.measuredSlowdown() > limits.stop()) {
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
            if (expected <= limits.target()) {
                break;
            }
            actions.add(new ProtectionAction.Throttle(task.task()));
            expected -= (1 - THROTTLED_SHARE) * effect(task, pressure);
        }
        return actions;
    }

    /** Releases tasks, the least harmful first, while the expected slowdown stays acceptable. */
    private ProtectionDecision release(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        List<BatchCandidate> byEffect =
                pressure.candidates().stream()
                        .filter(BatchCandidate::throttled)
                        .sorted(
                                Comparator.comparingDouble(
                                        (BatchCandidate task) -> effect(task, pressure)))
                        .toList();
        List<ProtectionAction> actions = new ArrayList<>();
        double expected = pressure.measuredSlowdown();
        for (BatchCandidate task : byEffect) {
            expected += (1 / THROTTLED_SHARE - 1) * effect(task, pressure);
            if ((expected > limits.target() && !actions.isEmpty()) || expected > limits.upper()) {
                break;
            }
            actions.add(new ProtectionAction.Release(task.task()));
        }
        if (actions.isEmpty()) {
            return ProtectionDecision.nothing(state);
        }
        return new ProtectionDecision(state.acted(nowMillis), actions);
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
