package org.yuccabank.control.workflow;

import java.util.concurrent.CompletionStage;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.JoinRequest;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaService;

/**
 * Adds new replicas, and replicas that have lost their disk, as members of the group, and replaces
 * voters that do not answer by learners that have caught up.
 *
 * <p>Invariants: a replica becomes a voter only after it has caught up; only a member without a
 * vote is removed; only one membership change is in progress at a time. Confined to the replica
 * thread.
 */
final class MembershipManager {

    private final ReplicaService replica;
    private final VoterPolicy voterPolicy;
    private boolean changeInProgress;

    MembershipManager(ReplicaService replica, int desiredVoters) {
        this.replica = replica;
        voterPolicy = new VoterPolicy(desiredVoters);
    }

    /** Adds the replica that asks to join as a learner unless it is a member. */
    void handleJoin(JoinRequest join) {
        boolean member =
                replica.status().members().stream()
                        .anyMatch(each -> each.replicaId().equals(join.getReplicaId()));
        if (!member && !changeInProgress) {
            follow(
                    replica.addLearner(join.getReplicaId(), join.getAddress()),
                    "add",
                    join.getReplicaId());
        }
    }

    /** Starts the next change of membership that the group needs. */
    void tick() {
        if (!changeInProgress) {
            voterPolicy.nextChange(replica.status()).ifPresent(this::start);
        }
    }

    private void start(VoterPolicy.Change change) {
        String replicaId = change.replicaId();
        if (change instanceof VoterPolicy.Change.Promote) {
            follow(replica.promote(replicaId), "promote", replicaId);
        } else if (change instanceof VoterPolicy.Change.Demote) {
            follow(replica.demote(replicaId), "demote", replicaId);
        } else {
            follow(replica.remove(replicaId), "remove", replicaId);
        }
    }

    private void follow(CompletionStage<ProposalOutcome> change, String step, String replicaId) {
        changeInProgress = true;
        change.whenComplete(
                (outcome, error) -> {
                    changeInProgress = false;
                    EventLog.information(
                            Event.MEMBERSHIP_CHANGED,
                            "step",
                            step,
                            "replica",
                            replicaId,
                            "outcome",
                            error == null ? outcome.getClass().getSimpleName() : error);
                });
    }
}
