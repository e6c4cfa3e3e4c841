package org.yuccabank.policy.eviction;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Stops the batch task with most processors when a report is above a limit, at most one task per
 * host in a few seconds. The baseline that {@link GradualProtection} is compared with. Immutable.
 */
public final class ThresholdProtection implements ProtectionPolicy {

    private static final double LIMIT = 2.0;
    private static final long PAUSE_MILLIS = 5_000;

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
    public ProtectionDecision judge(ProtectionState state, HostPressure pressure, long nowMillis) {
        if (pressure.measuredSlowdown() <= LIMIT
                || nowMillis - state.lastActionMillis() < PAUSE_MILLIS) {
            return ProtectionDecision.nothing(state);
        }
        Optional<BatchCandidate> largest =
                pressure.candidates().stream()
                        .max(Comparator.comparingLong(BatchCandidate::processorMillis));
        if (largest.isEmpty()) {
            return ProtectionDecision.nothing(state);
        }
        return new ProtectionDecision(
                state.acted(nowMillis), List.of(new ProtectionAction.Stop(largest.get().task())));
    }
}
