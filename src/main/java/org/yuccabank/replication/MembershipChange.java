package org.yuccabank.replication;

import java.util.Optional;
import org.yuccabank.protocol.generated.Member;
import org.yuccabank.protocol.generated.Membership;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/** A change of one member of a replication group. */
sealed interface MembershipChange {

    /** Adds a learner. */
    record AddLearner(ReplicaMember member) implements MembershipChange {}

    /** Promotes a learner to a voter. */
    record Promote(String replicaId) implements MembershipChange {}

    /** Demotes a voter to a learner. */
    record Demote(String replicaId) implements MembershipChange {}

    /** Removes a member, whose identifier cannot be used again. */
    record Remove(String replicaId) implements MembershipChange {}

    /**
     * Applies the change to a membership.
     *
     * @param membership the current membership
     * @return the new membership, or a failure if the change is not possible
     */
    default Result<Membership> applyTo(Membership membership) {
        if (this instanceof AddLearner add) {
            return add(membership, add.member());
        }
        if (this instanceof Promote promote) {
            return promote(membership, promote.replicaId());
        }
        if (this instanceof Demote demote) {
            return demote(membership, demote.replicaId());
        }
        return remove(membership, ((Remove) this).replicaId());
    }

    private static Result<Membership> add(Membership membership, ReplicaMember member) {
        if (position(membership, member.replicaId()).isPresent()) {
            return refused(member.replicaId(), "is already a member");
        }
        if (membership.getRemovedList().contains(member.replicaId())) {
            return refused(member.replicaId(), "was removed; use a new identifier");
        }
        return Result.success(membership.toBuilder().addMembers(member.toProto()).build());
    }

    private static Result<Membership> promote(Membership membership, String replicaId) {
        Optional<Integer> position = position(membership, replicaId);
        if (position.isEmpty()) {
            return refused(replicaId, "is not a member");
        }
        Member member = membership.getMembers(position.get());
        if (member.getVoter()) {
            return refused(replicaId, "is already a voter");
        }
        Member voter = member.toBuilder().setVoter(true).build();
        return Result.success(membership.toBuilder().setMembers(position.get(), voter).build());
    }

    private static Result<Membership> demote(Membership membership, String replicaId) {
        Optional<Integer> position = position(membership, replicaId);
        if (position.isEmpty() || !membership.getMembers(position.get()).getVoter()) {
            return refused(replicaId, "is not a voter");
        }
        Member learner = membership.getMembers(position.get()).toBuilder().setVoter(false).build();
        Membership demoted = membership.toBuilder().setMembers(position.get(), learner).build();
        return demoted.getMembersList().stream().noneMatch(Member::getVoter)
                ? refused(replicaId, "is the last voter")
                : Result.success(demoted);
    }

    private static Result<Membership> remove(Membership membership, String replicaId) {
        Optional<Integer> position = position(membership, replicaId);
        if (position.isEmpty()) {
            return refused(replicaId, "is not a member");
        }
        Membership.Builder builder = membership.toBuilder().removeMembers(position.get());
        if (builder.getMembersList().stream().noneMatch(Member::getVoter)) {
            return refused(replicaId, "is the last voter");
        }
        return Result.success(builder.addRemoved(replicaId).build());
    }

    private static Optional<Integer> position(Membership membership, String replicaId) {
        for (int index = 0; index < membership.getMembersCount(); index++) {
            if (membership.getMembers(index).getReplicaId().equals(replicaId)) {
                return Optional.of(index);
            }
        }
        return Optional.empty();
    }

    private static Result<Membership> refused(String replicaId, String reason) {
        return Result.failure(
                SourcePosition.ofSource("membership"), "replica " + replicaId + " " + reason);
    }
}
