package org.yuccabank.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Status of a replica at one point in time. Immutable.
 *
 * @param replicaId identifier of this replica
 * @param role current role
 * @param term current term
 * @param leader the leader known to this replica, if any
 * @param commitIndex highest log index known to be committed
 * @param appliedIndex last log index applied to the state machine
 * @param lastIndex index of the last log entry
 * @param members members according to the latest membership in the log
 * @param millisSinceReply time since the last reply of each other member, known to the leader only
 * @param unreachableMembers other members to which the latest attempt to connect failed
 * @param caughtUpLearners learners that can be promoted, known to the leader only
 * @param stopReason why the replica stopped, empty while it runs
 */
public record ReplicaStatus(
        String replicaId,
        ReplicaRole role,
        long term,
        Optional<ReplicaMember> leader,
        long commitIndex,
        long appliedIndex,
        long lastIndex,
        List<ReplicaMember> members,
        Map<String, Long> millisSinceReply,
        Set<String> unreachableMembers,
        Set<String> caughtUpLearners,
        Optional<String> stopReason) {

    /**
     * Returns the voters according to the latest membership in the log.
     *
     * @return their identifiers, in the order in which they joined
     */
    public List<String> voters() {
        return members.stream().filter(ReplicaMember::voter).map(ReplicaMember::replicaId).toList();
    }

    /**
     * Returns the number of voters that an election or a commit needs.
     *
     * @return the smallest majority of the voters
     */
    public int quorum() {
        return voters().size() / 2 + 1;
    }
}
