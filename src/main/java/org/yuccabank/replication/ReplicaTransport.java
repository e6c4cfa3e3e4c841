package org.yuccabank.replication;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
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

    /**
     * Returns whether the latest attempt to connect to an address failed. A process that is paused
     * or waits for its disk still has its connections accepted by its host.
     *
     * @param address address of a replica according to the membership
     * @return true if no connection is open and the latest attempt was refused or timed out; false
     *     if that is not known
     */
    default boolean isUnreachable(String address) {
        return false;
    }

    /**
     * Returns the members whose address cannot be reached, see {@link #isUnreachable}.
     *
     * @param members members of the group
     * @return identifiers of these members
     */
    default Set<String> unreachableMembers(Collection<ReplicaMember> members) {
        return members.stream()
                .filter(member -> isUnreachable(member.address()))
                .map(ReplicaMember::replicaId)
                .collect(Collectors.toUnmodifiableSet());
    }
}
