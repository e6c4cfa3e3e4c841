package org.yuccabank.verify;

import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.result.Result;

/**
 * Safety mechanisms that a test can disable to show that the checks detect their absence.
 *
 * @param nodeFactory factory for replicas
 * @param duplicateDetection whether the state machine deduplicates resent commands
 * @param versionCheck whether a change of rules must state the current version
 * @param newIdAfterDiskLoss whether a replica with a lost disk returns under a new identifier
 */
record VerifyOptions(
        NodeFactory nodeFactory,
        boolean duplicateDetection,
        boolean versionCheck,
        boolean newIdAfterDiskLoss) {

    /** Creates replicas. */
    @FunctionalInterface
    interface NodeFactory {

        /**
         * Opens a replica.
         *
         * @param settings settings of the replica
         * @param environment state machine, network, disk and other dependencies of the replica
         * @param now current time of its clock
         * @return the replica, or the findings about its durable state
         */
        Result<ReplicaNode> open(
                ReplicaSettings settings, ReplicaNode.Environment environment, long now);
    }

    /** Returns the options with all mechanisms enabled, as in production. */
    static VerifyOptions defaults() {
        return new VerifyOptions(ReplicaNode::open, true, true, true);
    }

    VerifyOptions withNodeFactory(NodeFactory newNodeFactory) {
        return new VerifyOptions(
                newNodeFactory, duplicateDetection, versionCheck, newIdAfterDiskLoss);
    }
}
