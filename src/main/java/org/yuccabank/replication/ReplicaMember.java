package org.yuccabank.replication;

import java.util.Objects;
import org.yuccabank.protocol.generated.Member;

/**
 * Member of a replication group. Immutable.
 *
 * @param replicaId identifier of the replica; must not be reused after its disk was lost
 * @param address address at which the replica receives messages, in the format of the transport
 * @param voter true for a voter, false for a learner, which receives the log but does not vote
 */
public record ReplicaMember(String replicaId, String address, boolean voter) {

    /** Validates that the identifier and address are not null. */
    public ReplicaMember {
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(address, "address is null");
    }

    /**
     * Creates a voter.
     *
     * @param replicaId identifier of the replica
     * @param address address at which the replica receives messages
     * @return the member
     */
    public static ReplicaMember voter(String replicaId, String address) {
        return new ReplicaMember(replicaId, address, true);
    }

    /**
     * Creates a learner.
     *
     * @param replicaId identifier of the replica
     * @param address address at which the replica receives messages
     * @return the member
     */
    public static ReplicaMember learner(String replicaId, String address) {
        return new ReplicaMember(replicaId, address, false);
    }

    static ReplicaMember fromProto(Member member) {
        return new ReplicaMember(member.getReplicaId(), member.getAddress(), member.getVoter());
    }

    Member toProto() {
        return Member.newBuilder()
                .setReplicaId(replicaId)
                .setAddress(address)
                .setVoter(voter)
                .build();
    }
}
