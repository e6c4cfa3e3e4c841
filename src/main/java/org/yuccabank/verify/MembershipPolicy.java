package org.yuccabank.verify;

import java.util.function.Consumer;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaNode;

/** Decides which replicas of a simulated group are voters. */
@FunctionalInterface
interface MembershipPolicy {

    /**
     * Proposes the next change of one member, if the group needs one.
     *
     * @param desiredVoters desired number of voters
     * @param leader the leader
     * @param nowMillis current time of the leader
     * @param callback called once with the outcome of the change
     * @return false if no change is needed, in which case the callback is not called
     */
    boolean proposeNext(
            int desiredVoters,
            ReplicaNode leader,
            long nowMillis,
            Consumer<ProposalOutcome> callback);
}
