package org.yuccabank.replication;

import java.util.EnumSet;
import java.util.Set;

/** Set of enabled mechanisms. Immutable. */
final class ReplicaOptions {

    private static final ReplicaOptions ALL = new ReplicaOptions(Set.of());

    private final Set<Mechanism> disabled;

    private ReplicaOptions(Set<Mechanism> disabled) {
        this.disabled = Set.copyOf(disabled);
    }

    /**
     * Returns options that enable all mechanisms, as used in production.
     *
     * @return the options
     */
    static ReplicaOptions all() {
        return ALL;
    }

    /**
     * Returns options that disable some mechanisms, for tests only.
     *
     * @param mechanism a mechanism to disable
     * @param others further mechanisms to disable
     * @return the options
     */
    static ReplicaOptions without(Mechanism mechanism, Mechanism... others) {
        return new ReplicaOptions(EnumSet.of(mechanism, others));
    }

    boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
