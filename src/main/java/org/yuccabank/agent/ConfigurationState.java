package org.yuccabank.agent;

import org.yuccabank.protocol.generated.RulesVersion;

/**
 * The configuration version of this agent and how recently control confirmed it.
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
     * Takes rules and the version of control over.
     *
     * @param received rules, the default instance if control sent none
     * @param controlVersion newest version that control knows
     * @param requestedAtMillis time at which this agent asked
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

    /** Tells whether control has confirmed a version since the start. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Tells whether control confirmed the version within the configuration lease. */
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
