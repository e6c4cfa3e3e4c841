package org.yuccabank.policy.eviction;

import java.util.List;

/**
 * Decision for one host. Immutable.
 *
 * @param state state for the next decision
 * @param actions actions to take now
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
