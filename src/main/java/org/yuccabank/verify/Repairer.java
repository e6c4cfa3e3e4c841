package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/**
 * Replaces members: removes the old replica, adds the new one as a learner and gives it a vote.
 * Asks the leader for every missing step again and again, also before the previous step is
 * committed, so that the protocol has to refuse what would be unsafe. Not thread-safe.
 */
final class Repairer {

    private static final long INTERVAL_MILLIS = 50;

    /** Allowance of the protocol for a learner that becomes a voter. */
    private static final long CATCH_UP_ENTRIES = 64;

    private record Replacement(String oldId, String newId) {}

    private final SimulatedGroup group;
    private final List<Replacement> replacements = new ArrayList<>();

    Repairer(SimulatedGroup group) {
        this.group = group;
    }

    void start() {
        group.simulation().afterMillis(INTERVAL_MILLIS, this::work);
    }

    boolean isIdle() {
        return replacements.isEmpty();
    }

    /** Starts a replica that takes the place of another. */
    void replace(String oldId) {
        SimulatedReplica added = group.add(List.of());
        replacements.add(new Replacement(oldId, added.id()));
    }

    /** Tells whether a replica is being replaced or replaces another. */
    boolean isInvolved(String id) {
        return replacements.stream()
                .anyMatch(each -> each.oldId().equals(id) || each.newId().equals(id));
    }

    private void work() {
        start();
        group.leader()
                .ifPresent(
                        leader -> List.copyOf(replacements).forEach(each -> advance(leader, each)));
    }

    private void advance(SimulatedReplica leader, Replacement replacement) {
        leader.run(node -> request(leader, node, replacement));
    }

    private void request(SimulatedReplica leader, ReplicaNode node, Replacement replacement) {
        List<ReplicaMember> members = node.status().members();
        long now = leader.nowMillis();
        Optional<ReplicaMember> added = find(members, replacement.newId());
        if (added.isEmpty()) {
            node.addLearner(
                    ReplicaMember.learner(replacement.newId(), replacement.newId()),
                    now,
                    outcome -> {});
        } else if (!added.get().voter()) {
            promote(node, replacement.newId(), now);
        }
        if (find(members, replacement.oldId()).isPresent()) {
            node.remove(replacement.oldId(), now, outcome -> {});
        } else if (added.isPresent() && added.get().voter()) {
            finish(node, replacement);
        }
    }

    private static Optional<ReplicaMember> find(List<ReplicaMember> members, String id) {
        return members.stream().filter(member -> member.replicaId().equals(id)).findFirst();
    }

    private void promote(ReplicaNode node, String id, long now) {
        boolean[] refused = {false};
        node.promote(
                id, now, outcome -> refused[0] |= !(outcome instanceof ProposalOutcome.Committed));
        long stored =
                group.replica(id)
                        .flatMap(SimulatedReplica::node)
                        .map(learner -> learner.status().lastIndex())
                        .orElse(Long.MAX_VALUE);
        long required = node.status().lastIndex() - 1 - CATCH_UP_ENTRIES;
        if (!refused[0] && stored < required) {
            group.checker()
                    .report(
                            Violation.Property.VOTER_CAUGHT_UP,
                            id + " got a vote at " + stored + " of " + required);
        }
    }

    /** The replacement is done once the last change is committed. */
    private void finish(ReplicaNode node, Replacement replacement) {
        if (node.appliedIndex() == node.status().lastIndex()) {
            replacements.remove(replacement);
            group.replica(replacement.oldId()).ifPresent(SimulatedReplica::retire);
        }
    }
}
