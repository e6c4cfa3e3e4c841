package org.yuccabank.policy.eviction;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.policy.interference.SlowdownEstimator;

/**
 * Protects urgent work by escalating actions on batch tasks: throttle, then checkpoint and move,
 * then stop. Stateless.
 *
 * <p>Hysteresis: an action requires two new reports above the upper limit, measured after the last
 * action took effect. Throttling ends only after the slowdown has been below the lower limit for
 * the release delay, and only if it is expected to stay below the upper limit.
 */
public final class GradualProtection implements ProtectionPolicy {

    /** A single report may be measurement noise. */
    private static final int MINIMUM_HIGH_REPORTS = 2;

    /** Time for a directive to arrive and to affect the requests in progress. */
    private static final long SETTLING_MILLIS = 1_000;

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
     * @param estimator estimates how much each task slows down urgent work
     * @param limits slowdown limits at which to act
     * @return the policy
     */
    public static GradualProtection of(SlowdownEstimator estimator, ProtectionLimits limits) {
        Objects.requireNonNull(estimator, "estimator is null");
        Objects.requireNonNull(limits, "limits is null");
        return new GradualProtection(estimator, limits);
    }

    @Override
    public ProtectionDecision decide(ProtectionState state, HostPressure pressure, long nowMillis) {
        if (pressure.measuredAtMillis() <= state.lastMeasuredMillis()
                || pressure.measuredAtMillis() < state.lastActionMillis() + SETTLING_MILLIS) {
            return ProtectionDecision.noAction(state);
        }
        ProtectionState next = updateState(state, pressure, nowMillis);
        if (next.highReports() >= MINIMUM_HIGH_REPORTS) {
            return escalate(next, pressure, nowMillis);
        }
        if (next.belowLowerSinceMillis() >= 0
                && nowMillis - next.belowLowerSinceMillis() >= limits.releaseDelayMillis()) {
            return release(next, pressure, nowMillis);
        }
        return ProtectionDecision.noAction(next);
    }

    private ProtectionState updateState(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        double measured = pressure.measuredSlowdown();
        int highReports = measured > limits.upper() ? state.highReports() + 1 : 0;
        long belowLowerSinceMillis = -1;
        if (measured < limits.lower()) {
            belowLowerSinceMillis =
                    state.belowLowerSinceMillis() >= 0 ? state.belowLowerSinceMillis() : nowMillis;
        }
        return new ProtectionState(
                highReports,
                belowLowerSinceMillis,
                state.lastActionMillis(),
                pressure.measuredAtMillis());
    }

    private ProtectionDecision escalate(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        List<ProtectionAction> throttles = throttleActions(pressure);
        if (!throttles.isEmpty()) {
            return new ProtectionDecision(state.afterAction(nowMillis), throttles);
        }
        Optional<EvictionCandidate> movable =
                pressure.candidates().stream()
                        .filter(EvictionCandidate::checkpointable)
                        .max(Comparator.comparingDouble(task -> slowdownReduction(task, pressure)));
        if (movable.isPresent()) {
            return new ProtectionDecision(
                    state.afterAction(nowMillis),
                    List.of(new ProtectionAction.Move(movable.get().task())));
        }
        Optional<EvictionCandidate> cheapest =
                pressure.candidates().stream()
                        .min(Comparator.comparingLong(EvictionCandidate::atRiskMillis));
        if (cheapest.isPresent() && pressure.measuredSlowdown() > limits.stop()) {
            return new ProtectionDecision(
                    state.afterAction(nowMillis),
                    List.of(new ProtectionAction.Stop(cheapest.get().task())));
        }
        return ProtectionDecision.noAction(state);
    }

    /** Throttles tasks, largest effect first, until the expected slowdown reaches the target. */
    private List<ProtectionAction> throttleActions(HostPressure pressure) {
        List<EvictionCandidate> byEffect =
                pressure.candidates().stream()
                        .filter(task -> !task.throttled())
                        .sorted(
                                Comparator.comparingDouble(
                                        (EvictionCandidate task) ->
                                                -slowdownReduction(task, pressure)))
                        .toList();
        List<ProtectionAction> actions = new ArrayList<>();
        double expected = pressure.measuredSlowdown();
        for (EvictionCandidate task : byEffect) {
            if (expected <= limits.target()) {
                break;
            }
            actions.add(new ProtectionAction.Throttle(task.task()));
            expected -= (1 - THROTTLED_SHARE) * slowdownReduction(task, pressure);
        }
        return actions;
    }

    /**
     * Releases tasks, smallest effect first, while the expected slowdown stays below the target.
     * The first one only needs to stay below the upper limit.
     */
    private ProtectionDecision release(
            ProtectionState state, HostPressure pressure, long nowMillis) {
        List<EvictionCandidate> byEffect =
                pressure.candidates().stream()
                        .filter(EvictionCandidate::throttled)
                        .sorted(
                                Comparator.comparingDouble(
                                        (EvictionCandidate task) ->
                                                slowdownReduction(task, pressure)))
                        .toList();
        List<ProtectionAction> actions = new ArrayList<>();
        double expected = pressure.measuredSlowdown();
        for (EvictionCandidate task : byEffect) {
            expected += (1 / THROTTLED_SHARE - 1) * slowdownReduction(task, pressure);
            if ((expected > limits.target() && !actions.isEmpty()) || expected > limits.upper()) {
                break;
            }
            actions.add(new ProtectionAction.Release(task.task()));
        }
        if (actions.isEmpty()) {
            return ProtectionDecision.noAction(state);
        }
        return new ProtectionDecision(state.afterAction(nowMillis), actions);
    }

    /** Returns the reduction of the urgent slowdown if the task were absent. */
    private double slowdownReduction(EvictionCandidate task, HostPressure pressure) {
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
