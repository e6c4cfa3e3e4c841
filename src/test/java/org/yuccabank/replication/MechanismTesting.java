package org.yuccabank.replication;

import org.yuccabank.result.Result;

/** Opens replicas with mechanisms switched off, for tests of other packages. */
public final class MechanismTesting {

    private MechanismTesting() {}

    /** Opens a replica without one mechanism. */
    public static Result<ReplicaNode> openWithout(
            String mechanism,
            ReplicaSettings settings,
            ReplicaNode.Environment environment,
            long nowMillis) {
        ReplicaOptions options = ReplicaOptions.without(Mechanism.valueOf(mechanism));
        return ReplicaNode.open(settings, environment, nowMillis, options);
    }
}
