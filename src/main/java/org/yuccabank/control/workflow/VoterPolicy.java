package org.yuccabank.control.workflow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaStatus;

/**
 * Decides which replicas are voters. A voter that does not answer is replaced as soon as a learner
 * can take its place, because a lost voter that is still counted makes the next loss cost the
 * majority. It is demoted before its successor is promoted: the demotion leaves the quorum of an
 * odd number of voters as it is, whereas one voter more would raise it and make the group depend on
 * a replica that has just joined.
 *
 * <p>Of several silent voters, one whose address cannot be reached goes first. A host that is gone
 * for good accepts no connections, whereas the host of a paused process or a stalled disk does, and
 * returns with its log. If the wrong voter is replaced, the group counts a vote that is never cast
 * again, for as long as the other one stays away.
 *
 * <p>Invariants: there are never more voters than desired, apart from those that an earlier release
 * has left; a voter is demoted only if a majority of the others answers at the moment, and a voter
 * that is not surplus only if a learner has caught up. Immutable.
 */
final class VoterPolicy {

    /**
     * A voter that has not answered for longer is replaced. Longer than an election and the sync of
     * a slow disk.
     */
    private static final long RESPONSIVE_TIMEOUT_MILLIS = 1_500;

    /**
     * A voter that has answered within this time counts for the majority that has to commit a
     * demotion: four heartbeats, the time after which a follower holds its leader for lost. With
     * the longer timeout, a leader that had just lost its majority demoted a voter, and that
     * uncommitted change took a vote away which the group needed to recover.
     */
    private static final long ANSWERING_TIMEOUT_MILLIS = 300;

    /**
     * A voter whose address a later member has taken is replaced after a shorter silence, before
     * any other, as its disk is lost. It is the time after which a leader gives up a majority that
     * does not answer.
     */
    private static final long SUPERSEDED_TIMEOUT_MILLIS = 600;

    private final int desiredVoters;

    VoterPolicy(int desiredVoters) {
        this.desiredVoters = desiredVoters;
    }

    /** A change of one member. */
    sealed interface Change {

        /** Returns the identifier of the member. */
        String replicaId();

        /** Gives a vote to a learner. */
        record Promote(String replicaId) implements Change {}

        /** Takes the vote of a member, which stays a learner. */
        record Demote(String replicaId) implements Change {}

        /** Removes a member whose disk is lost. */
        record Remove(String replicaId) implements Change {}
    }

    /**
     * Returns the next change that brings the group closer to the desired number of responsive
     * voters.
     *
     * @param status the status of the leader
     * @return the change, empty if none is needed or possible
     */
    Optional<Change> nextChange(ReplicaStatus status) {
        int voters = status.voters().size();
        Optional<String> learner = caughtUpLearner(status);
        Optional<Change> change = Optional.empty();
        if (voters > desiredVoters) {
            change =
                    unresponsiveVoter(status)
                            .or(() -> longestSilentVoter(status))
                            .map(Change.Demote::new);
        } else if (voters < desiredVoters) {
            change = learner.map(Change.Promote::new);
        } else if (learner.isPresent()) {
            change =
                    supersededVoter(status)
                            .or(() -> unresponsiveVoter(status))
                            .map(Change.Demote::new);
        }
        return change.or(() -> supersededLearner(status).map(Change.Remove::new));
    }

    /**
     * Returns the voter that has been silent for the longest time, if the others can do without.
     */
    private static Optional<String> longestSilentVoter(ReplicaStatus status) {
        return otherVoters(status)
                .max(Comparator.comparingLong(id -> silenceMillis(id, status)))
                .filter(id -> hasMajorityWithout(id, status));
    }

    /**
     * Returns the unresponsive voter that is the least likely to return, if the others can do
     * without: one that cannot be reached, and of these the one that has been silent for longest.
     */
    private static Optional<String> unresponsiveVoter(ReplicaStatus status) {
        return otherVoters(status)
                .filter(id -> !isResponsive(id, status))
                .max(
                        Comparator.<String, Boolean>comparing(status.unreachableMembers()::contains)
                                .thenComparing(id -> silenceMillis(id, status)))
                .filter(id -> hasMajorityWithout(id, status));
    }

    private static Stream<String> otherVoters(ReplicaStatus status) {
        return status.voters().stream().filter(id -> !id.equals(status.replicaId()));
    }

    /** Returns a silent voter whose address a later member has, if the others can do without. */
    private static Optional<String> supersededVoter(ReplicaStatus status) {
        return supersededMembers(status)
                .filter(ReplicaMember::voter)
                .map(ReplicaMember::replicaId)
                .filter(id -> silenceMillis(id, status) > SUPERSEDED_TIMEOUT_MILLIS)
                .filter(id -> hasMajorityWithout(id, status))
                .findFirst();
    }

    private static boolean hasMajorityWithout(String demoted, ReplicaStatus status) {
        List<String> others = status.voters().stream().filter(id -> !id.equals(demoted)).toList();
        long answering =
                others.stream()
                        .filter(id -> silenceMillis(id, status) <= ANSWERING_TIMEOUT_MILLIS)
                        .count();
        return 2 * answering > others.size();
    }

    private static Optional<String> caughtUpLearner(ReplicaStatus status) {
        return status.members().stream()
                .filter(member -> !member.voter())
                .map(ReplicaMember::replicaId)
                .filter(status.caughtUpLearners()::contains)
                .findFirst();
    }

    /** Returns a silent learner whose address a later member has. */
    private static Optional<String> supersededLearner(ReplicaStatus status) {
        return supersededMembers(status)
                .filter(member -> !member.voter())
                .map(ReplicaMember::replicaId)
                .filter(id -> !isResponsive(id, status))
                .findFirst();
    }

    /**
     * Returns the members whose address a later member has. A host takes a new identifier only if
     * its disk is lost, so such a member never returns, unless a join request was delivered late.
     */
    private static Stream<ReplicaMember> supersededMembers(ReplicaStatus status) {
        Map<String, ReplicaMember> latestByAddress = new HashMap<>();
        status.members().forEach(member -> latestByAddress.put(member.address(), member));
        return status.members().stream()
                .filter(member -> !latestByAddress.get(member.address()).equals(member));
    }

    private static boolean isResponsive(String replicaId, ReplicaStatus status) {
        return silenceMillis(replicaId, status) <= RESPONSIVE_TIMEOUT_MILLIS;
    }

    /** Returns the time since the last reply; the leader itself is not in the map. */
    private static long silenceMillis(String replicaId, ReplicaStatus status) {
        return status.millisSinceReply().getOrDefault(replicaId, 0L);
    }
}
