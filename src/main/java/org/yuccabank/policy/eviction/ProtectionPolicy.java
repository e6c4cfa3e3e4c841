package org.yuccabank.policy.eviction;

/** Decides what is done to batch tasks on a host whose urgent work is slow. Pure. */
@FunctionalInterface
public interface ProtectionPolicy {

    /**
     * Judges a host when a report arrives.
     *
     * @param state memory of the last judgement
     * @param pressure what the report tells
     * @param nowMillis present time
     * @return the actions and the new memory
     */
    ProtectionDecision decide(ProtectionState state, HostPressure pressure, long nowMillis);

    /**
     * Never acts.
     *
     * @return the policy
     */
    static ProtectionPolicy none() {
        return (state, pressure, nowMillis) -> ProtectionDecision.noAction(state);
    }
}
