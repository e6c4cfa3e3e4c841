package org.yuccabank.control.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaStatus;

/**
 * Decides which replicas are voters. A voter that does not answer is replaced as soon as a learner
 * can take its place, because a lost voter that is still counted makes the next loss cost the
 * majority.
 *
 * <p>Invariants: there is at most one voter more than desired, and only until the next change; a
 * voter is demoted only while the responsive voters are a majority of the others. Immutable.
 */
final class VoterPolicy {

    /**
     * A voter that has not answered for longer is replaced if a learner is available. Longer than
     * an election and the sync of a slow disk; a voter that returns later becomes a learner that
     * can replace another one.
     */
    private static final long RESPONSIVE_TIMEOUT_MILLIS = 1_500;

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
        if (voters > desiredVoters) {
            return surplusVoter(status).map(Change.Demote::new);
        }
        boolean needsVoter =
                voters < desiredVoters
                        || status.members().stream()
                                .filter(ReplicaMember::voter)
                                .anyMatch(each -> !isResponsive(each, status));
        Optional<Change> promotion =
                needsVoter ? caughtUpLearner(status).map(Change.Promote::new) : Optional.empty();
        return promotion.or(() -> supersededLearner(status).map(Change.Remove::new));
    }

    /**
     * Returns the voter that has been silent for the longest time, if the others can do without.
     */
    private static Optional<String> surplusVoter(ReplicaStatus status) {
        Optional<ReplicaMember> silent =
                status.members().stream()
                        .filter(ReplicaMember::voter)
                        .filter(each -> !each.replicaId().equals(status.replicaId()))
                        .max(Comparator.comparingLong(each -> silenceMillis(each, status)));
        return silent.filter(each -> hasMajorityWithout(each, status))
                .map(ReplicaMember::replicaId);
    }

    private static boolean hasMajorityWithout(ReplicaMember demoted, ReplicaStatus status) {
        List<ReplicaMember> others =
                status.members().stream()
                        .filter(each -> each.voter() && !each.equals(demoted))
                        .toList();
        long responsive = others.stream().filter(each -> isResponsive(each, status)).count();
        return 2 * responsive > others.size();
    }

    private static Optional<String> caughtUpLearner(ReplicaStatus status) {
        return status.members().stream()
                .filter(each -> !each.voter() && !isSuperseded(each, status))
                .map(ReplicaMember::replicaId)
                .filter(status.caughtUpLearners()::contains)
                .findFirst();
    }

    private static Optional<String> supersededLearner(ReplicaStatus status) {
        return status.members().stream()
                .filter(each -> !each.voter() && isSuperseded(each, status))
                .map(ReplicaMember::replicaId)
                .findFirst();
    }

    private static boolean isResponsive(ReplicaMember member, ReplicaStatus status) {
        return silenceMillis(member, status) <= RESPONSIVE_TIMEOUT_MILLIS;
    }

    private static long silenceMillis(ReplicaMember member, ReplicaStatus status) {
        if (isSuperseded(member, status)) {
            return Long.MAX_VALUE;
        }
        // The leader itself is not in the map.
        return status.millisSinceReply().getOrDefault(member.replicaId(), 0L);
    }

    /**
     * Returns whether a later member has the same address. A host takes a new identifier only if
     * its disk is lost, so the earlier member never returns.
     */
    private static boolean isSuperseded(ReplicaMember member, ReplicaStatus status) {
        List<ReplicaMember> sameAddress =
                status.members().stream()
                        .filter(each -> each.address().equals(member.address()))
                        .toList();
        return !sameAddress.get(sameAddress.size() - 1).equals(member);
    }
}
