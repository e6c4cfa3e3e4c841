package org.yuccabank.policy.eviction;

import java.util.List;

/**
 * Outcome of one judgement of a host. Immutable.
 *
 * @param state memory for the next judgement
 * @param actions what is to be done now
 */
public record ProtectionDecision(ProtectionState state, List<ProtectionAction> actions) {

    /** Copies the actions. */
    public ProtectionDecision {
        actions = List.copyOf(actions);
    }

    static ProtectionDecision noAction(ProtectionState state) {
        return new ProtectionDecision(state, List.of());
    }
}
