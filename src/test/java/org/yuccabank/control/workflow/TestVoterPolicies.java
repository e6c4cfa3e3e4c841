package org.yuccabank.control.workflow;

import java.util.Optional;
import java.util.function.Consumer;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaNode;

/** Applies {@link VoterPolicy} to replicas without a thread for tests in other packages. */
public final class TestVoterPolicies {

    private TestVoterPolicies() {}

    /** Proposes the change that {@link MembershipManager} would start; returns false if none. */
    public static boolean proposeNext(
            int desiredVoters,
            ReplicaNode leader,
            long nowMillis,
            Consumer<ProposalOutcome> callback) {
        Optional<VoterPolicy.Change> change =
                new VoterPolicy(desiredVoters).nextChange(leader.status());
        if (change.isEmpty()) {
            return false;
        }
        String replicaId = change.get().replicaId();
        if (change.get() instanceof VoterPolicy.Change.Promote) {
            leader.promote(replicaId, nowMillis, callback);
        } else if (change.get() instanceof VoterPolicy.Change.Demote) {
            leader.demote(replicaId, nowMillis, callback);
        } else {
            leader.remove(replicaId, nowMillis, callback);
        }
        return true;
    }
}
