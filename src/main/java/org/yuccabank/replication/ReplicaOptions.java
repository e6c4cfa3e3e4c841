package org.yuccabank.replication;

import java.util.EnumSet;
import java.util.Set;

/** The mechanisms that are in use. Immutable. */
final class ReplicaOptions {

    private static final ReplicaOptions ALL = new ReplicaOptions(Set.of());

    private final Set<Mechanism> disabled;

    private ReplicaOptions(Set<Mechanism> disabled) {
        this.disabled = Set.copyOf(disabled);
    }

    /**
     * All mechanisms.
     *
     * @return the options of production code
     */
    static ReplicaOptions all() {
        return ALL;
    }

    /**
     * All mechanisms but some.
     *
     * @param first a mechanism that is switched off
     * @param rest further ones
     * @return the options, for tests only
     */
    static ReplicaOptions without(Mechanism first, Mechanism... rest) {
        return new ReplicaOptions(EnumSet.of(first, rest));
    }

    boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
