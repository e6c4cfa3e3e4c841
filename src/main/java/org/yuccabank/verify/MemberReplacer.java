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
final class MemberReplacer {

    private static final long RETRY_INTERVAL_MILLIS = 50;

    /** Allowance of the protocol for a learner that becomes a voter. */
    private static final long MAXIMUM_LEARNER_LAG_ENTRIES = 64;

    private record Replacement(String oldId, String newId) {}

    private final SimulatedGroup group;
    private final List<Replacement> replacements = new ArrayList<>();

    MemberReplacer(SimulatedGroup group) {
        this.group = group;
    }

    void start() {
        group.simulation().scheduleMillis(RETRY_INTERVAL_MILLIS, this::advanceAll);
    }

    boolean isIdle() {
        return replacements.isEmpty();
    }

    /** Starts a replica that takes the place of another. */
    void replace(String oldId) {
        SimulatedReplica added = group.startReplica(List.of());
        replacements.add(new Replacement(oldId, added.id()));
    }

    /** Tells whether a replica is being replaced or replaces another. */
    boolean isBeingReplaced(String id) {
        return replacements.stream()
                .anyMatch(each -> each.oldId().equals(id) || each.newId().equals(id));
    }

    private void advanceAll() {
        start();
        group.leader()
                .ifPresent(
                        leader -> List.copyOf(replacements).forEach(each -> advance(leader, each)));
    }

    private void advance(SimulatedReplica leader, Replacement replacement) {
        leader.handleInput(node -> requestNextSteps(leader, node, replacement));
    }

    private void requestNextSteps(
            SimulatedReplica leader, ReplicaNode node, Replacement replacement) {
        List<ReplicaMember> members = node.status().members();
        long now = leader.nowMillis();
        Optional<ReplicaMember> added = findMember(members, replacement.newId());
        if (added.isEmpty()) {
            node.addLearner(
                    ReplicaMember.learner(replacement.newId(), replacement.newId()),
                    now,
                    outcome -> {});
        } else if (!added.get().voter()) {
            promote(node, replacement.newId(), now);
        }
        if (findMember(members, replacement.oldId()).isPresent()) {
            node.remove(replacement.oldId(), now, outcome -> {});
        } else if (added.isPresent() && added.get().voter()) {
            finishIfCommitted(node, replacement);
        }
    }

    private static Optional<ReplicaMember> findMember(List<ReplicaMember> members, String id) {
        return members.stream().filter(member -> member.replicaId().equals(id)).findFirst();
    }

    private void promote(ReplicaNode node, String id, long now) {
        boolean[] refused = {false};
        node.promote(
                id, now, outcome -> refused[0] |= !(outcome instanceof ProposalOutcome.Committed));
        long learnerLastIndex =
                group.replica(id)
                        .flatMap(SimulatedReplica::node)
                        .map(learner -> learner.status().lastIndex())
                        .orElse(Long.MAX_VALUE);
        long requiredIndex = node.status().lastIndex() - 1 - MAXIMUM_LEARNER_LAG_ENTRIES;
        if (!refused[0] && learnerLastIndex < requiredIndex) {
            group.checker()
                    .report(
                            Violation.Property.VOTER_CAUGHT_UP,
                            id + " got a vote at " + learnerLastIndex + " of " + requiredIndex);
        }
    }

    /** The replacement is done once the last change is committed. */
    private void finishIfCommitted(ReplicaNode node, Replacement replacement) {
        if (node.appliedIndex() == node.status().lastIndex()) {
            replacements.remove(replacement);
            group.replica(replacement.oldId()).ifPresent(SimulatedReplica::retire);
        }
    }
}
