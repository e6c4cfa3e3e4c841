package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/**
 * Replaces members by removing the old replica and adding the new one as a learner that is promoted
 * to voter. Periodically requests every missing step from the leader, even before the previous step
 * is committed, so that the protocol itself must reject unsafe changes. Not thread-safe.
 */
final class MemberReplacer {

    private static final long RETRY_INTERVAL_MILLIS = 50;

    /** Maximum lag at which the protocol promotes a learner. */
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

    /** Starts a new replica and replaces another member by it. */
    void replace(String oldId) {
        SimulatedReplica added = group.startReplica(List.of());
        replacements.add(new Replacement(oldId, added.id()));
    }

    /** Returns whether a replica is the old or the new member of a replacement in progress. */
    boolean isPartOfReplacement(String id) {
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
                            id
                                    + " promoted at index "
                                    + learnerLastIndex
                                    + ", required "
                                    + requiredIndex);
        }
    }

    /** Completes the replacement once the leader has committed and applied its whole log. */
    private void finishIfCommitted(ReplicaNode node, Replacement replacement) {
        if (node.appliedIndex() == node.status().lastIndex()) {
            replacements.remove(replacement);
            group.replica(replacement.oldId()).ifPresent(SimulatedReplica::retire);
        }
    }
}
