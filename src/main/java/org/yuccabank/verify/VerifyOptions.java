package org.yuccabank.verify;

import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.ReplicaSettings;
import org.yuccabank.result.Result;

/**
 * Mechanisms around the protocol that a test can switch off, to show that the checks notice.
 *
 * @param nodeFactory creates replicas
 * @param duplicateDetection true if the state machine recognises commands that were sent again
 * @param versionCheck true if a change of rules must name the present version
 * @param newIdAfterDiskLoss true if a replica whose disk was lost returns under a new identifier
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
         * @param environment its surroundings
         * @param now the present time of its clock
         * @return the replica, or what is wrong with its durable state
         */
        Result<ReplicaNode> open(
                ReplicaSettings settings, ReplicaNode.Environment environment, long now);
    }

    /** Everything as in production. */
    static VerifyOptions defaults() {
        return new VerifyOptions(ReplicaNode::open, true, true, true);
    }

    VerifyOptions withNodeFactory(NodeFactory newNodeFactory) {
        return new VerifyOptions(
                newNodeFactory, duplicateDetection, versionCheck, newIdAfterDiskLoss);
    }
}
