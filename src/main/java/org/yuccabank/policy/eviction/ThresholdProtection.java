package org.yuccabank.policy.eviction;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Stops the batch task with the highest processor use when a report exceeds a fixed limit, at most
 * one task per host and cooldown. Baseline for comparison with {@link GradualProtection}.
 * Immutable.
 */
public final class ThresholdProtection implements ProtectionPolicy {

    private static final double MAXIMUM_SLOWDOWN = 2.0;
    private static final long COOLDOWN_MILLIS = 5_000;

    private ThresholdProtection() {}

    /**
     * Creates the policy.
     *
     * @return the policy
     */
    public static ThresholdProtection create() {
        return new ThresholdProtection();
    }

    @Override
    public ProtectionDecision decide(ProtectionState state, HostPressure pressure, long nowMillis) {
        if (pressure.measuredSlowdown() <= MAXIMUM_SLOWDOWN
                || nowMillis - state.lastActionMillis() < COOLDOWN_MILLIS) {
            return ProtectionDecision.noAction(state);
        }
        Optional<EvictionCandidate> largest =
                pressure.candidates().stream()
                        .max(Comparator.comparingLong(EvictionCandidate::processorMillis));
        if (largest.isEmpty()) {
            return ProtectionDecision.noAction(state);
        }
        return new ProtectionDecision(
                state.afterAction(nowMillis),
                List.of(new ProtectionAction.Stop(largest.get().task())));
    }
}
