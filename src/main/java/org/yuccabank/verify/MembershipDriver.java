package org.yuccabank.verify;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/**
 * Performs the timers of the control processes of a simulated group: the leader applies the policy
 * of membership, and replicas without a vote ask to join. As in a control process, one change is in
 * progress at a time. Not thread-safe.
 */
final class MembershipDriver {

    private static final long POLICY_INTERVAL_MILLIS = 50;
    private static final long JOIN_INTERVAL_MILLIS = 250;

    private final SimulatedGroup group;
    private final MembershipPolicy policy;
    private final Collection<SimulatedHost> hosts;
    private final Set<ReplicaNode> changingNodes = new HashSet<>();

    MembershipDriver(
            SimulatedGroup group, MembershipPolicy policy, Collection<SimulatedHost> hosts) {
        this.group = group;
        this.policy = policy;
        this.hosts = hosts;
    }

    void start() {
        applyPolicy();
        requestJoins();
    }

    private void applyPolicy() {
        for (SimulatedReplica replica : group.replicas()) {
            replica.handleInput(node -> applyPolicy(replica, node));
        }
        group.simulation().scheduleMillis(POLICY_INTERVAL_MILLIS, this::applyPolicy);
    }

    private void applyPolicy(SimulatedReplica replica, ReplicaNode node) {
        if (!node.isLeader() || !changingNodes.add(node)) {
            return;
        }
        boolean proposed =
                policy.proposeNext(
                        group.plan().voterCount(),
                        node,
                        replica.nowMillis(),
                        outcome -> changingNodes.remove(node));
        if (!proposed) {
            changingNodes.remove(node);
        }
    }

    private void requestJoins() {
        for (SimulatedHost host : hosts) {
            host.replica().node().ifPresent(node -> requestJoin(host, node));
        }
        group.simulation().scheduleMillis(JOIN_INTERVAL_MILLIS, this::requestJoins);
    }

    private void requestJoin(SimulatedHost host, ReplicaNode node) {
        String id = host.replica().id();
        if (node.status().voters().contains(id)) {
            return;
        }
        ReplicaMember learner = ReplicaMember.learner(id, host.address());
        group.leader()
                .ifPresent(
                        leader ->
                                group.network()
                                        .send(
                                                id,
                                                leader.id(),
                                                () ->
                                                        leader.handleInput(
                                                                each ->
                                                                        add(
                                                                                leader, each,
                                                                                learner))));
    }

    private void add(SimulatedReplica leader, ReplicaNode node, ReplicaMember learner) {
        boolean member =
                node.status().members().stream()
                        .anyMatch(each -> each.replicaId().equals(learner.replicaId()));
        if (!member && changingNodes.add(node)) {
            node.addLearner(learner, leader.nowMillis(), outcome -> changingNodes.remove(node));
        }
    }
}
