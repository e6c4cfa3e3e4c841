package org.yuccabank.control.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.replication.ReplicaMember;

/**
 * Decides which replicas vote. Answers the loss of control hosts for good, one after the other,
 * after which voters that can not answer would outnumber those that can.
 *
 * <p>Invariant: a voter is replaced only while enough others answer, so that a change never leaves
 * fewer voters that answer than are wanted. Immutable.
 */
final class VoterPolicy {

    /** A voter that is silent for longer does not count as one that answers. */
    private static final long RESPONSIVE_TIMEOUT_MILLIS = 1_500;

    /** A voter that is silent for longer is replaced; a host restarts within this time. */
    private static final long LOST_TIMEOUT_MILLIS = 10_000;

    private final int desiredVoters;

    VoterPolicy(int desiredVoters) {
        this.desiredVoters = desiredVoters;
    }

    /**
     * Tells whether a learner is needed as a voter.
     *
     * @param members the members
     * @param silentMillis for how long each other member has not answered the leader
     * @return true if too few voters answer
     */
    boolean needsVoter(List<ReplicaMember> members, Map<String, Long> silentMillis) {
        return responsiveVoterCount(members, silentMillis) < desiredVoters;
    }

    /**
     * A voter whose vote is better taken away.
     *
     * @param members the members
     * @param silentMillis for how long each other member has not answered the leader
     * @return the replica, empty if every vote is needed
     */
    Optional<String> findLostVoter(List<ReplicaMember> members, Map<String, Long> silentMillis) {
        if (responsiveVoterCount(members, silentMillis) < desiredVoters) {
            return Optional.empty();
        }
        return members.stream()
                .filter(ReplicaMember::voter)
                .map(ReplicaMember::replicaId)
                .filter(id -> silentMillis.getOrDefault(id, 0L) > LOST_TIMEOUT_MILLIS)
                .findFirst();
    }

    private static long responsiveVoterCount(
            List<ReplicaMember> members, Map<String, Long> silentMillis) {
        return members.stream()
                .filter(ReplicaMember::voter)
                .filter(member -> isResponsive(member, silentMillis))
                .count();
    }

    /** The leader itself is not in the map. */
    private static boolean isResponsive(ReplicaMember member, Map<String, Long> silentMillis) {
        return silentMillis.getOrDefault(member.replicaId(), 0L) <= RESPONSIVE_TIMEOUT_MILLIS;
    }
}
