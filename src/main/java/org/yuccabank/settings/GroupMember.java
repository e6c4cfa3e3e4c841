package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Initial member of a control group. Immutable.
 *
 * @param replicaId identifier of the replica, never reused after its disk is lost
 * @param address address of the replica in the peer protocol
 */
public record GroupMember(String replicaId, InetSocketAddress address) {

    /** Validates the components. */
    public GroupMember {
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(address, "address is null");
    }
}
