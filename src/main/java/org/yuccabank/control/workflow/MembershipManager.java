package org.yuccabank.control.workflow;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.JoinRequest;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaService;
import org.yuccabank.replication.ReplicaStatus;

/**
 * Adds new replicas, and replicas that have lost their disk, as members of the group, and demotes
 * lost voters.
 *
 * <p>Invariants: a replica becomes a voter only after it has caught up; the former member at the
 * same address is removed only after its successor is a voter, so that the group never depends on
 * the vote of a replica that no longer exists. Only one membership change is in progress at a time.
 * Confined to the replica thread.
 */
final class MembershipManager {

    private final ReplicaService replica;
    private final VoterPolicy voterPolicy;

    MembershipManager(ReplicaService replica, int desiredVoters) {
        this.replica = replica;
        voterPolicy = new VoterPolicy(desiredVoters);
    }

    /**
     * Starts the next membership change that the joining replica needs. The replica repeats its
     * request until no change is needed.
     */
    void handleJoin(JoinRequest join) {
        ReplicaStatus status = replica.status();
        List<ReplicaMember> members = status.members();
        Optional<ReplicaMember> joining =
                members.stream()
                        .filter(member -> member.replicaId().equals(join.getReplicaId()))
                        .findFirst();
        Optional<ReplicaMember> formerMember =
                members.stream()
                        .filter(member -> member.address().equals(join.getAddress()))
                        .filter(member -> !member.replicaId().equals(join.getReplicaId()))
                        .findFirst();
        if (joining.isEmpty()) {
            log(replica.addLearner(join.getReplicaId(), join.getAddress()), "add", join);
        } else if (!joining.get().voter()) {
            boolean replaces = formerMember.map(ReplicaMember::voter).orElse(false);
            if (replaces || voterPolicy.needsVoter(members, status.millisSinceReply())) {
                log(replica.promote(join.getReplicaId()), "promote", join);
            }
        } else {
            formerMember.ifPresent(each -> log(replica.remove(each.replicaId()), "replace", join));
        }
    }

    /** Demotes a lost voter if enough other voters are responsive. */
    void tick() {
        ReplicaStatus status = replica.status();
        voterPolicy
                .findLostVoter(status.members(), status.millisSinceReply())
                .ifPresent(
                        lost ->
                                log(
                                        replica.demote(lost),
                                        "demote",
                                        JoinRequest.newBuilder().setReplicaId(lost).build()));
    }

    private static void log(
            CompletionStage<ProposalOutcome> change, String step, JoinRequest join) {
        change.whenComplete(
                (outcome, error) ->
                        EventLog.information(
                                Event.MEMBERSHIP_CHANGED,
                                "step",
                                step,
                                "replica",
                                join.getReplicaId(),
                                "outcome",
                                error == null ? outcome.getClass().getSimpleName() : error));
    }
}
