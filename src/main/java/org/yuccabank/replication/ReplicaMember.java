package org.yuccabank.replication;

import java.util.Objects;
import org.yuccabank.protocol.generated.Member;

/**
 * Member of a replication group. Immutable.
 *
 * @param replicaId identifier, never used again after its disk was lost
 * @param address where the replica receives messages, in the form the transport understands
 * @param voter true for a voter, false for a learner that receives the log without a vote
 */
public record ReplicaMember(String replicaId, String address, boolean voter) {

    /** Checks the fields. */
    public ReplicaMember {
        Objects.requireNonNull(replicaId, "replicaId is null");
        Objects.requireNonNull(address, "address is null");
    }

    /**
     * Creates a voter.
     *
     * @param replicaId identifier
     * @param address where it receives messages
     * @return the member
     */
    public static ReplicaMember voter(String replicaId, String address) {
        return new ReplicaMember(replicaId, address, true);
    }

    /**
     * Creates a learner.
     *
     * @param replicaId identifier
     * @param address where it receives messages
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
