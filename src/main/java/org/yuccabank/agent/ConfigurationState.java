package org.yuccabank.agent;

import org.yuccabank.protocol.generated.RulesVersion;

/**
 * The configuration of this agent and the lease that control's last confirmation grants on it.
 *
 * <p>Invariant: the version never decreases. Not thread-safe.
 */
final class ConfigurationState {

    private final AgentConfiguration.Limits limits;
    private RulesVersion rules = RulesVersion.getDefaultInstance();
    private boolean confirmed;
    private long confirmedAtMillis;

    ConfigurationState(AgentConfiguration.Limits limits) {
        this.limits = limits;
    }

    /**
     * Applies newer rules and renews the lease if this agent has the newest version.
     *
     * @param received the rules, the default instance if control sent none
     * @param controlVersion newest version known to control
     * @param requestedAtMillis time at which this agent sent the report that control answered
     */
    void update(RulesVersion received, long controlVersion, long requestedAtMillis) {
        if (received.getVersion() > rules.getVersion()) {
            rules = received;
        }
        if (rules.getVersion() >= controlVersion) {
            confirmed = true;
            confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        }
    }

    /** Returns whether control has confirmed a version since this agent started. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Returns whether control confirmed the version within the configuration lease. */
    boolean hasValidLease(long nowMillis) {
        return confirmed && nowMillis - confirmedAtMillis < limits.configurationLeaseMillis();
    }

    RulesVersion rules() {
        return rules;
    }

    long version() {
        return rules.getVersion();
    }
}
