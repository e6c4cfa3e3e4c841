package org.yuccabank.replication;

import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * Sends messages to other replicas. Messages may be lost, duplicated, delayed and reordered. An
 * implementation never blocks and drops what it cannot send. It is called by the thread of the
 * replica.
 */
@FunctionalInterface
public interface ReplicaTransport {

    /**
     * Sends a message to the replica that {@link ReplicaMessage#getTo} names.
     *
     * @param address address of that replica as the membership records it, empty if unknown
     * @param message the message
     */
    void send(String address, ReplicaMessage message);
}
