package org.yuccabank.control.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.replication.ReplicaMember;

/**
 * Decides which replicas are voters. If control hosts are lost permanently one after the other,
 * their voters are replaced before the unresponsive voters outnumber the responsive ones.
 *
 * <p>Invariant: a voter is demoted only while enough others are responsive, so that a change never
 * leaves fewer responsive voters than desired. Immutable.
 */
final class VoterPolicy {

    /** A voter that has not answered for longer is considered unresponsive. */
    private static final long RESPONSIVE_TIMEOUT_MILLIS = 1_500;

    /**
     * A voter that has not answered for longer is considered lost, as a host restarts within this
     * time.
     */
    private static final long LOST_TIMEOUT_MILLIS = 10_000;

    private final int desiredVoters;

    VoterPolicy(int desiredVoters) {
        this.desiredVoters = desiredVoters;
    }

    /**
     * Returns whether a learner should be promoted to voter.
     *
     * @param members the members of the group
     * @param millisSinceReply time since each other member last answered the leader, in
     *     milliseconds
     * @return true if fewer voters than desired are responsive
     */
    boolean needsVoter(List<ReplicaMember> members, Map<String, Long> millisSinceReply) {
        return responsiveVoterCount(members, millisSinceReply) < desiredVoters;
    }

    /**
     * Returns a lost voter that should be demoted.
     *
     * @param members the members of the group
     * @param millisSinceReply time since each other member last answered the leader, in
     *     milliseconds
     * @return the replica, or empty if no voter is lost or every voter is needed
     */
    Optional<String> findLostVoter(
            List<ReplicaMember> members, Map<String, Long> millisSinceReply) {
        if (responsiveVoterCount(members, millisSinceReply) < desiredVoters) {
            return Optional.empty();
        }
        return members.stream()
                .filter(ReplicaMember::voter)
                .map(ReplicaMember::replicaId)
                .filter(id -> millisSinceReply.getOrDefault(id, 0L) > LOST_TIMEOUT_MILLIS)
                .findFirst();
    }

    private static long responsiveVoterCount(
            List<ReplicaMember> members, Map<String, Long> millisSinceReply) {
        return members.stream()
                .filter(ReplicaMember::voter)
                .filter(member -> isResponsive(member, millisSinceReply))
                .count();
    }

    /** Returns whether a member has answered recently. The leader itself is not in the map. */
    private static boolean isResponsive(ReplicaMember member, Map<String, Long> millisSinceReply) {
        return millisSinceReply.getOrDefault(member.replicaId(), 0L) <= RESPONSIVE_TIMEOUT_MILLIS;
    }
}
