package org.yuccabank.policy.eviction;

/** Decides on actions for batch tasks on a host whose urgent work is slowed down. Stateless. */
@FunctionalInterface
public interface ProtectionPolicy {

    /**
     * Decides on actions for a host when a report arrives.
     *
     * @param state state after the previous decision
     * @param pressure slowdown and load from the report
     * @param nowMillis current time
     * @return the actions and the new state
     */
    ProtectionDecision decide(ProtectionState state, HostPressure pressure, long nowMillis);

    /**
     * Returns a policy that never acts.
     *
     * @return the policy
     */
    static ProtectionPolicy none() {
        return (state, pressure, nowMillis) -> ProtectionDecision.noAction(state);
    }
}
