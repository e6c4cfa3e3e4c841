package org.yuccabank.replication;

import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * Transport for messages to other replicas. Messages may be lost, duplicated, delayed or reordered.
 * Implementations must not block and drop messages that cannot be sent. Called by the replica
 * thread.
 */
@FunctionalInterface
public interface ReplicaTransport {

    /**
     * Sends a message to the replica identified by {@link ReplicaMessage#getTo}.
     *
     * @param address address of the replica according to the membership, empty if unknown
     * @param message the message
     */
    void send(String address, ReplicaMessage message);
}
