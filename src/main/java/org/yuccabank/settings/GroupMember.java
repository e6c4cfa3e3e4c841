package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * First member of a control group. Immutable.
 *
 * @param replicaId identifier of the replica, never used again after its disk was lost
 * @param address address on which the replica receives the inner protocol
 */
public record GroupMember(String replicaId, InetSocketAddress address) {

    /** Checks the parts. */
    public GroupMember {
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(address, "address is null");
    }
}
