package org.yuccabank.replication;

import org.yuccabank.result.Result;

/** Opens replicas with a disabled mechanism for tests in other packages. */
public final class TestReplicaNodes {

    private TestReplicaNodes() {}

    /** Opens a replica with one mechanism disabled. */
    public static Result<ReplicaNode> openWithout(
            String mechanism,
            ReplicaSettings settings,
            ReplicaNode.Environment environment,
            long nowMillis) {
        ReplicaOptions options = ReplicaOptions.without(Mechanism.valueOf(mechanism));
        return ReplicaNode.open(settings, environment, nowMillis, options);
    }
}
