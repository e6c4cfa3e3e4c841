package org.yuccabank.replication;

import org.yuccabank.result.Result;

/** Opens replicas with mechanisms switched off, for tests of other packages. */
public final class Mechanisms {

    private Mechanisms() {}

    /** The names of all mechanisms. */
    public static String[] names() {
        String[] names = new String[Mechanism.values().length];
        for (Mechanism mechanism : Mechanism.values()) {
            names[mechanism.ordinal()] = mechanism.name();
        }
        return names;
    }

    /** Opens a replica without one mechanism. */
    public static Result<ReplicaNode> openWithout(
            String mechanism,
            ReplicaSettings settings,
            ReplicaNode.Environment environment,
            long now) {
        ReplicaOptions options = ReplicaOptions.without(Mechanism.valueOf(mechanism));
        return ReplicaNode.open(settings, environment, now, options);
    }
}
